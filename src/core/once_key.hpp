#ifndef HAWTHORNSPUR_CORE_ONCE_KEY_HPP
#define HAWTHORNSPUR_CORE_ONCE_KEY_HPP

#include "base/result.hpp"

#include <cstdint>
#include <string>
#include <string_view>

namespace hawthornspur::core
{

/// A session binds at-most-once keys to the one process that runs them.
struct session
{
    std::string m_home;
    std::uint64_t m_incarnation = 0;
    std::uint64_t m_epoch = 0;
    std::uint64_t m_nonce = 0;
    friend auto operator<=>(session const&, session const&) = default;
};

/// A key is a session and a sequence number that the caller chooses.
struct once_key
{
    session m_session;
    std::uint64_t m_sequence = 0;
    friend auto operator<=>(once_key const&, once_key const&) = default;
};

/// "home.incarnation.epoch.nonce", incarnation and nonce as 16 hex digits.
std::string to_string(session const& s);
std::string to_string(once_key const& key);

/// Accepts exactly the form that to_string writes. Errors:
/// once_session_required for a bare sequence number, else once_key_malformed.
result<once_key> parse_once_key(std::string_view text);
result<session> parse_session(std::string_view text);

} // namespace hawthornspur::core

#endif
