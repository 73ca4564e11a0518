#ifndef HAWTHORNSPUR_NET_MESSAGE_AUTH_HPP
#define HAWTHORNSPUR_NET_MESSAGE_AUTH_HPP

#include <array>
#include <cstddef>
#include <initializer_list>
#include <memory>
#include <string>
#include <string_view>

struct evp_mac_ctx_st;

namespace hawthornspur::net
{

/// HMAC-SHA256 with one key. The key is set up once, since that costs more
/// than the tag of a short message.
class message_authenticator
{
public:
    static constexpr std::size_t full_bytes = 32;
    /// RFC 2104 recommends at least half of the hash length.
    static constexpr std::size_t truncated_bytes = 16;
    using full_tag = std::array<char, full_bytes>;

    explicit message_authenticator(std::string_view key);

    /// Computes the tag of the concatenated parts.
    full_tag tag(std::initializer_list<std::string_view> parts);

private:
    struct context_deleter
    {
        void operator()(evp_mac_ctx_st* context) const noexcept;
    };
    std::unique_ptr<evp_mac_ctx_st, context_deleter> m_context;
};

/// The first truncated_bytes of a tag.
std::string_view
truncated_view(message_authenticator::full_tag const& tag) noexcept;

std::string_view full_view(message_authenticator::full_tag const& tag) noexcept;

/// Compares in a time that does not depend on the contents, so that timing
/// reveals nothing about a forged tag.
bool equals_in_constant_time(std::string_view a, std::string_view b) noexcept;

/// Returns cryptographically secure random bytes.
std::string random_bytes(std::size_t count);

} // namespace hawthornspur::net

#endif
