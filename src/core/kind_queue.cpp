#include "core/kind_queue.hpp"

#include <algorithm>
#include <cassert>
#include <iterator>

namespace hawthornspur::core
{

namespace
{

constexpr duration adaptive_wait_threshold = std::chrono::milliseconds(100);

bool is_newest_first(queued_request const& oldest, queue_order order,
                     time_point now)
{
    return order == queue_order::last_come ||
           (order == queue_order::adaptive &&
            now - oldest.m_enqueued_at > adaptive_wait_threshold);
}

bool has_earlier_deadline(queued_request const& a, queued_request const& b)
{
    return a.m_deadline < b.m_deadline ||
           (a.m_deadline == b.m_deadline && a.m_sequence < b.m_sequence);
}

} // namespace

void push(kind_queue& queue, queued_request const& request, queue_order order)
{
    if (order == queue_order::earliest_deadline)
    {
        queue.insert(std::upper_bound(queue.begin(), queue.end(), request,
                                      has_earlier_deadline),
                     request);
        return;
    }
    // Only requests that another zone refused after a spill arrive out of
    // order.
    auto position = queue.end();
    while (position != queue.begin() &&
           std::prev(position)->m_sequence > request.m_sequence)
    {
        --position;
    }
    queue.insert(position, request);
}

queued_request const& front(kind_queue const& queue, queue_order order,
                            time_point now)
{
    assert(!queue.empty());
    return is_newest_first(queue.front(), order, now) ? queue.back()
                                                      : queue.front();
}

void pop(kind_queue& queue, queue_order order, time_point now)
{
    assert(!queue.empty());
    if (is_newest_first(queue.front(), order, now))
    {
        queue.pop_back();
    }
    else
    {
        queue.pop_front();
    }
}

bool remove(kind_queue& queue, request_id request)
{
    auto const found = std::find_if(queue.begin(), queue.end(),
                                    [&](queued_request const& entry)
                                    { return entry.m_request == request; });
    if (found == queue.end())
    {
        return false;
    }
    queue.erase(found);
    return true;
}

bool is_served_before(queued_request const& a, queued_request const& b,
                      queue_order order, time_point now)
{
    if (order == queue_order::earliest_deadline)
    {
        return has_earlier_deadline(a, b);
    }
    auto const& oldest = a.m_sequence < b.m_sequence ? a : b;
    return is_newest_first(oldest, order, now) ? a.m_sequence > b.m_sequence
                                               : a.m_sequence < b.m_sequence;
}

} // namespace hawthornspur::core
