#ifndef HAWTHORNSPUR_CORE_TIMER_HEAP_HPP
#define HAWTHORNSPUR_CORE_TIMER_HEAP_HPP

#include "core/ids.hpp"
#include "core/time.hpp"

#include <vector>

namespace hawthornspur::core
{

/// One time at which a request needs attention: its deadline or its hedge.
struct request_timer
{
    time_point m_at;
    request_id m_request;
};

/// Binary heap with the earliest time first. Entries of finished requests
/// stay until they come to the top, which saves a search on each answer.
using timer_heap = std::vector<request_timer>;

void push(timer_heap& heap, request_timer const& timer);

/// Removes the earliest entry. The heap must not be empty.
void pop(timer_heap& heap);

} // namespace hawthornspur::core

#endif
