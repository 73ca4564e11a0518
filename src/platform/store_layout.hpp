#ifndef HAWTHORNSPUR_PLATFORM_STORE_LAYOUT_HPP
#define HAWTHORNSPUR_PLATFORM_STORE_LAYOUT_HPP

#include "base/result.hpp"
#include "core/configuration.hpp"
#include "core/target_directory.hpp"

#include <functional>
#include <optional>
#include <string>
#include <string_view>

namespace hawthornspur::platform
{

/// Keys under which operators and targets write to the platform's store, and
/// the functions that parse their values. These functions do not check the
/// configuration.
struct store_layout
{
    /// Range that contains the configuration but no keys that change often.
    std::string m_configuration_prefix;
    std::string m_configuration_key;
    /// Range in which targets register, one key each.
    std::string m_target_prefix;

    /// Errors: store_answer_malformed, whose message states the reason.
    std::function<result<core::configuration>(std::string_view value)>
        m_read_configuration;
    /// The zone that a key of the configuration's range evacuates while it
    /// exists, or nothing. Empty if the platform has no such keys.
    std::function<std::optional<std::string>(std::string_view key)>
        m_evacuated_zone;
    /// Checks the value of such a key. Errors: store_answer_malformed, whose
    /// message states the reason.
    std::function<status(std::string_view value)> m_check_evacuation;
    /// Errors: store_answer_malformed for an entry without a usable target.
    std::function<result<core::registered_target>(std::string_view key,
                                                  std::string_view value)>
        m_read_target;
};

} // namespace hawthornspur::platform

#endif
