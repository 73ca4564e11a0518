#include "core/timer_heap.hpp"

#include <algorithm>
#include <cassert>

namespace hawthornspur::core
{

namespace
{

bool is_later(request_timer const& a, request_timer const& b)
{
    return a.m_expires_at > b.m_expires_at ||
           (a.m_expires_at == b.m_expires_at && a.m_request > b.m_request);
}

} // namespace

void push(timer_heap& heap, request_timer const& timer)
{
    heap.push_back(timer);
    std::push_heap(heap.begin(), heap.end(), is_later);
}

void pop(timer_heap& heap)
{
    assert(!heap.empty());
    std::pop_heap(heap.begin(), heap.end(), is_later);
    heap.pop_back();
}

} // namespace hawthornspur::core
