#ifndef HAWTHORNSPUR_CORE_ONCE_KEY_HPP
#define HAWTHORNSPUR_CORE_ONCE_KEY_HPP

#include "base/result.hpp"

#include <cstdint>
#include <string>
#include <string_view>

namespace hawthornspur::core
{

/// Binds at-most-once keys to their home, the one process that deduplicates
/// the requests of the session.
struct session
{
    /// Name of the home's host.
    std::string m_home;
    /// Identifies the process on that host.
    std::uint64_t m_incarnation = 0;
    /// Epoch of the home in which the session was issued; limits the lifetime
    /// of the keys.
    std::uint64_t m_epoch = 0;
    /// Random, distinguishes the sessions of an epoch.
    std::uint64_t m_nonce = 0;
    friend auto operator<=>(session const&, session const&) = default;
};

/// An at-most-once key: a session and a sequence number that the caller
/// chooses.
struct once_key
{
    session m_session;
    std::uint64_t m_sequence = 0;
    friend auto operator<=>(once_key const&, once_key const&) = default;
};

/// "home.incarnation.epoch.nonce", incarnation and nonce as 16 hex digits.
std::string to_string(session const& value);
std::string to_string(once_key const& key);

/// Accepts only the form that to_string() writes. Errors: once_session_required
/// for a sequence number without a session, otherwise once_key_malformed.
result<once_key> parse_once_key(std::string_view text);

/// Accepts only the form that to_string() writes. Error: once_key_malformed.
result<session> parse_session(std::string_view text);

} // namespace hawthornspur::core

#endif
