#ifndef HAWTHORNSPUR_TOOLS_PLATFORM_EMULATOR_HOST_LIST_HPP
#define HAWTHORNSPUR_TOOLS_PLATFORM_EMULATOR_HOST_LIST_HPP

#include "base/result.hpp"
#include "core/time.hpp"

#include <nlohmann/json.hpp>

#include <deque>
#include <string>
#include <utility>

namespace hawthornspur::tools
{

/// The platform's list of hosts with its earlier versions, which are needed to
/// emulate lag.
struct host_list
{
    std::deque<std::pair<core::time_point, nlohmann::json>> m_versions;
};

/// Replaces the list with `{"hosts":[...]}`. Errors: document_syntax,
/// wrong_type, value_out_of_range for an unknown role or state.
status set_hosts(host_list& list, std::string const& text,
                 core::time_point now);

/// Returns the list as of `now - lag`, as `{"hosts":[...]}`; empty if there was
/// none.
nlohmann::json hosts_at(host_list const& list, core::time_point now,
                        core::duration lag);

} // namespace hawthornspur::tools

#endif
