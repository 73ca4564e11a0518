#ifndef HAWTHORNSPUR_CALLER_ADDRESS_BOOK_HPP
#define HAWTHORNSPUR_CALLER_ADDRESS_BOOK_HPP

#include "base/result.hpp"
#include "core/time.hpp"

#include <cstddef>
#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <vector>

namespace hawthornspur::calling
{

/// The name and the socket address of an entry host.
struct entry_address
{
    std::string m_host;
    std::string m_address;
    std::uint16_t m_port = 0;
};

/// The answer of an entry host to a request for the addresses of a service.
struct address_answer
{
    /// From receipt. Expired addresses are used until a new answer arrives.
    core::duration m_lifetime{0};
    /// The owner of the pool first, then its successors.
    std::vector<entry_address> m_addresses;
    /// Prefix of the at-most-once keys of this caller; empty without a session.
    std::string m_session;
};

/// Parses the JSON body of an address answer. Errors: malformed_request when a
/// field is missing or invalid.
result<address_answer> parse_address_answer(std::string const& text);

/// The cached addresses of one service, with the failures seen by one caller.
struct address_book
{
    address_answer m_answer;
    core::time_point m_received{};
    std::uint64_t m_next_sequence = 0;
    /// Hosts that could not be reached are tried last until this time.
    std::map<std::string, core::time_point> m_unreachable_until;
    /// Consecutive attempts that timed out, by host.
    std::map<std::string, int> m_silent_attempts;
};

/// Replaces the answer. A new session restarts the sequence numbers.
void update(address_book& book, address_answer answer, core::time_point now);

/// True when the addresses should be requested again: none are cached, most of
/// their lifetime has passed, or there is no session.
bool needs_refresh(address_book const& book, core::time_point now);

/// Returns the first address that is not in `tried`, or null when all are.
/// Hosts marked as unreachable come last. The pointer is valid until the next
/// update().
entry_address const* choose_address(address_book const& book,
                                    std::set<std::string> const& tried,
                                    core::time_point now);

/// Moves a host to the end of the order for a limited time. Discards the
/// session if the host is its home, since no other host can run its requests.
void mark_unreachable(address_book& book, std::string const& host,
                      core::time_point now);

/// Counts an attempt that timed out. Several in a row mark the host as
/// unreachable.
void record_silent_attempt(address_book& book, std::string const& host,
                           core::time_point now);

/// Records that the host answered.
void clear_failures(address_book& book, std::string const& host);

/// Discards the session; make_key() returns an empty text until the next one.
void discard_session(address_book& book);

/// Returns a new at-most-once key, or an empty text without a session.
std::string make_key(address_book& book);

/// True when the host is the home of the session.
bool is_session_home(std::string const& session, std::string const& host);

} // namespace hawthornspur::calling

#endif
