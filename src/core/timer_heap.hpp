#ifndef HAWTHORNSPUR_CORE_TIMER_HEAP_HPP
#define HAWTHORNSPUR_CORE_TIMER_HEAP_HPP

#include "core/ids.hpp"
#include "core/time.hpp"

#include <vector>

namespace hawthornspur::core
{

/// Timer of a request, for its deadline or a hedge.
struct request_timer
{
    time_point m_expires_at;
    request_id m_request;
};

/// Binary heap with the earliest timer first. Timers of finished requests stay
/// until they reach the top, which avoids a search on each answer.
using timer_heap = std::vector<request_timer>;

void push(timer_heap& heap, request_timer const& timer);

/// Removes the earliest timer. The heap must not be empty.
void pop(timer_heap& heap);

} // namespace hawthornspur::core

#endif
