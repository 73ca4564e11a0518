#include "caller/address_book.hpp"

#include "core/once_key.hpp"

#include <nlohmann/json.hpp>

#include <limits>
#include <optional>
#include <utility>

namespace hawthornspur::calling
{

namespace
{

/// Longer than the pools of a failed host need to get a new owner.
constexpr core::duration unreachable_duration = std::chrono::seconds(2);

/// A single timeout may be due to a slow target or a lost packet.
constexpr int max_silent_attempts = 3;

/// Addresses are refreshed before their lifetime ends so that calls need not
/// wait for the new ones.
constexpr double refresh_fraction = 0.8;

error make_malformed_error(char const* field)
{
    return make_error(result_code::malformed_request,
                      std::string("the address answer has no valid ") + field);
}

std::optional<entry_address> read_address(nlohmann::json const& row)
{
    if (!row.is_object() || !row.contains("host") || !row["host"].is_string() ||
        !row.contains("address") || !row["address"].is_string() ||
        !row.contains("port") || !row["port"].is_number_unsigned())
    {
        return std::nullopt;
    }
    auto const port = row["port"].get<std::uint64_t>();
    if (port == 0 || port > std::numeric_limits<std::uint16_t>::max())
    {
        return std::nullopt;
    }
    return entry_address{row["host"].get<std::string>(),
                         row["address"].get<std::string>(),
                         static_cast<std::uint16_t>(port)};
}

} // namespace

result<address_answer> parse_address_answer(std::string const& text)
{
    auto const parsed = nlohmann::json::parse(text, nullptr, false);
    if (!parsed.is_object() || !parsed.contains("addresses") ||
        !parsed["addresses"].is_array() || parsed["addresses"].empty())
    {
        return make_malformed_error("addresses");
    }
    address_answer answer;
    for (auto const& row : parsed["addresses"])
    {
        auto address = read_address(row);
        if (!address)
        {
            return make_malformed_error("address");
        }
        answer.m_addresses.push_back(*std::move(address));
    }
    if (!parsed.contains("lifetime_ms") ||
        !parsed["lifetime_ms"].is_number_unsigned())
    {
        return make_malformed_error("lifetime_ms");
    }
    answer.m_lifetime =
        std::chrono::milliseconds(parsed["lifetime_ms"].get<std::uint32_t>());
    if (parsed.contains("session"))
    {
        if (!parsed["session"].is_string() ||
            !has_value(
                core::parse_session(parsed["session"].get<std::string>())))
        {
            return make_malformed_error("session");
        }
        answer.m_session = parsed["session"].get<std::string>();
    }
    return answer;
}

void update(address_book& book, address_answer answer, core::time_point now)
{
    if (answer.m_session != book.m_answer.m_session)
    {
        book.m_next_sequence = 0;
    }
    book.m_answer = std::move(answer);
    book.m_received = now;
}

bool needs_refresh(address_book const& book, core::time_point now)
{
    auto const age = std::chrono::duration<double>(now - book.m_received);
    return book.m_answer.m_addresses.empty() ||
           book.m_answer.m_session.empty() ||
           age >= std::chrono::duration<double>(book.m_answer.m_lifetime) *
                      refresh_fraction;
}

entry_address const* choose_address(address_book const& book,
                                    std::set<std::string> const& tried,
                                    core::time_point now)
{
    entry_address const* first_unreachable = nullptr;
    for (auto const& address : book.m_answer.m_addresses)
    {
        if (tried.contains(address.m_host))
        {
            continue;
        }
        auto const found = book.m_unreachable_until.find(address.m_host);
        if (found == book.m_unreachable_until.end() || found->second <= now)
        {
            return &address;
        }
        first_unreachable =
            first_unreachable == nullptr ? &address : first_unreachable;
    }
    return first_unreachable;
}

void mark_unreachable(address_book& book, std::string const& host,
                      core::time_point now)
{
    book.m_unreachable_until[host] = now + unreachable_duration;
    if (is_session_home(book.m_answer.m_session, host))
    {
        discard_session(book);
    }
}

void record_silent_attempt(address_book& book, std::string const& host,
                           core::time_point now)
{
    if (++book.m_silent_attempts[host] >= max_silent_attempts)
    {
        mark_unreachable(book, host, now);
    }
}

void clear_failures(address_book& book, std::string const& host)
{
    book.m_silent_attempts.erase(host);
    book.m_unreachable_until.erase(host);
}

void discard_session(address_book& book)
{
    book.m_answer.m_session.clear();
}

std::string make_key(address_book& book)
{
    return book.m_answer.m_session.empty()
               ? std::string()
               : book.m_answer.m_session + "." +
                     std::to_string(book.m_next_sequence++);
}

bool is_session_home(std::string const& session, std::string const& host)
{
    auto const parsed = core::parse_session(session);
    return has_value(parsed) && value(parsed).m_home == host;
}

} // namespace hawthornspur::calling
