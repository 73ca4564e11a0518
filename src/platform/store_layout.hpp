#ifndef HAWTHORNSPUR_PLATFORM_STORE_LAYOUT_HPP
#define HAWTHORNSPUR_PLATFORM_STORE_LAYOUT_HPP

#include "base/result.hpp"
#include "core/configuration.hpp"
#include "core/target_directory.hpp"

#include <functional>
#include <string>
#include <string_view>

namespace hawthornspur::platform
{

/// Where a platform's store keeps what its operators and targets write, and
/// how these values are read. The readers only translate.
struct store_layout
{
    /// Range that holds the configuration and nothing that changes often.
    std::string m_configuration_prefix;
    std::string m_configuration_key;
    /// Range in which targets register themselves, one key each.
    std::string m_target_prefix;

    /// Errors: store_answer_malformed with the reason.
    std::function<result<core::configuration>(std::string_view value)>
        m_read_configuration;
    /// Errors: store_answer_malformed for an entry that names no target to
    /// use.
    std::function<result<core::registered_target>(std::string_view key,
                                                  std::string_view value)>
        m_read_target;
};

} // namespace hawthornspur::platform

#endif
