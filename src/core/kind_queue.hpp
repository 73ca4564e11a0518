#ifndef HAWTHORNSPUR_CORE_KIND_QUEUE_HPP
#define HAWTHORNSPUR_CORE_KIND_QUEUE_HPP

#include "core/ids.hpp"
#include "core/time.hpp"

#include <cstddef>
#include <cstdint>
#include <deque>

namespace hawthornspur::core
{

/// Order in which requests of equal priority are dispatched.
enum class queue_order : std::uint8_t
{
    first_come,
    last_come,
    earliest_deadline,
    /// First come first served until the oldest request has waited for more
    /// than 100 ms, then last come first served.
    adaptive,
};

struct queued_request
{
    request_id m_request;
    /// Position in the order of arrival at the pool.
    std::uint64_t m_sequence = 0;
    time_point m_enqueued_at;
    time_point m_deadline;
};

/// Requests of one kind that wait for a slot.
using kind_queue = std::deque<queued_request>;

/// Inserts the request at its position in the order.
void push(kind_queue& queue, queued_request const& request, queue_order order);

/// The request that is dispatched next. The queue must not be empty.
queued_request const& front(kind_queue const& queue, queue_order order,
                            time_point now);

/// Removes the request that front() returns. The queue must not be empty.
void pop(kind_queue& queue, queue_order order, time_point now);

/// Removes the request. Returns false if it is not in the queue.
bool remove(kind_queue& queue, request_id request);

/// Whether `a` is dispatched before `b` if their kinds have equal priority.
bool is_served_before(queued_request const& a, queued_request const& b,
                      queue_order order, time_point now);

} // namespace hawthornspur::core

#endif
