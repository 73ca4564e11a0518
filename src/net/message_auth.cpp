#include "net/message_auth.hpp"

#include <openssl/core_names.h>
#include <openssl/crypto.h>
#include <openssl/evp.h>
#include <openssl/params.h>
#include <openssl/rand.h>

#include <cstdlib>

namespace hawthornspur::net
{

namespace
{

/// Aborts the process if an OpenSSL call failed: continuing without
/// authentication is not safe.
void require(bool has_succeeded)
{
    if (!has_succeeded)
    {
        std::abort();
    }
}

unsigned char const* as_bytes(std::string_view text)
{
    return reinterpret_cast<unsigned char const*>(text.data());
}

} // namespace

void message_authenticator::context_deleter::operator()(
    evp_mac_ctx_st* context) const noexcept
{
    EVP_MAC_CTX_free(context);
}

message_authenticator::message_authenticator(std::string_view key)
{
    auto* mac = EVP_MAC_fetch(nullptr, "HMAC", nullptr);
    require(mac != nullptr);
    m_context.reset(EVP_MAC_CTX_new(mac));
    EVP_MAC_free(mac);
    require(m_context != nullptr);
    std::array<char, 7> digest{"SHA256"};
    std::array<OSSL_PARAM, 2> const parameters{
        OSSL_PARAM_construct_utf8_string(OSSL_MAC_PARAM_DIGEST, digest.data(),
                                         0),
        OSSL_PARAM_construct_end()};
    // A null pointer means "keep the current key", so an empty key is passed as
    // a valid pointer.
    static constexpr unsigned char empty = 0;
    require(EVP_MAC_init(m_context.get(), key.empty() ? &empty : as_bytes(key),
                         key.size(), parameters.data()) == 1);
}

message_authenticator::full_tag
message_authenticator::tag(std::initializer_list<std::string_view> parts)
{
    require(EVP_MAC_init(m_context.get(), nullptr, 0, nullptr) == 1);
    for (auto const part : parts)
    {
        require(EVP_MAC_update(m_context.get(), as_bytes(part), part.size()) ==
                1);
    }
    full_tag computed_tag{};
    std::size_t size = 0;
    require(EVP_MAC_final(m_context.get(),
                          reinterpret_cast<unsigned char*>(computed_tag.data()),
                          &size, computed_tag.size()) == 1);
    return computed_tag;
}

std::string_view
truncated_view(message_authenticator::full_tag const& tag) noexcept
{
    return {tag.data(), message_authenticator::truncated_bytes};
}

std::string_view full_view(message_authenticator::full_tag const& tag) noexcept
{
    return {tag.data(), tag.size()};
}

bool equals_in_constant_time(std::string_view a, std::string_view b) noexcept
{
    return a.size() == b.size() &&
           CRYPTO_memcmp(a.data(), b.data(), a.size()) == 0;
}

std::string random_bytes(std::size_t count)
{
    std::string bytes(count, '\0');
    require(RAND_bytes(reinterpret_cast<unsigned char*>(bytes.data()),
                       static_cast<int>(count)) == 1);
    return bytes;
}

} // namespace hawthornspur::net
