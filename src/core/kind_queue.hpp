#ifndef HAWTHORNSPUR_CORE_KIND_QUEUE_HPP
#define HAWTHORNSPUR_CORE_KIND_QUEUE_HPP

#include "core/ids.hpp"
#include "core/time.hpp"

#include <cstddef>
#include <cstdint>
#include <deque>

namespace hawthornspur::core
{

/// Which of the requests of equal priority is bound next.
enum class queue_order : std::uint8_t
{
    first_come,
    last_come,
    earliest_deadline,
    /// First come first served until the oldest has waited long, then last
    /// come first served.
    adaptive,
};

struct queued_request
{
    request_id m_request;
    /// Position in the order of arrival.
    std::uint64_t m_sequence = 0;
    time_point m_arrived;
    time_point m_deadline;
};

/// The requests of one kind that wait for a slot.
using kind_queue = std::deque<queued_request>;

void push(kind_queue& queue, queued_request const& request, queue_order order);

/// The request that is bound next. The queue must not be empty.
queued_request const& front(kind_queue const& queue, queue_order order,
                            time_point now);
void pop(kind_queue& queue, queue_order order, time_point now);

/// Removes the request. Returns false if it does not wait here.
bool remove(kind_queue& queue, request_id request);

/// Whether `a` goes before `b` when their kinds have the same priority.
bool goes_before(queued_request const& a, queued_request const& b,
                 queue_order order, time_point now);

} // namespace hawthornspur::core

#endif
