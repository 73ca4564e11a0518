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

struct entry_address
{
    std::string m_host;
    std::string m_address;
    std::uint16_t m_port = 0;
};

/// What an entry host answers when it is asked for the addresses of a service.
struct address_answer
{
    core::duration m_lifetime{0};
    /// The owner of the pool first, then its successors.
    std::vector<entry_address> m_addresses;
    /// Start of the at-most-once keys of this caller.
    std::string m_session;
};

/// Errors: malformed_request for text that is not a whole answer.
result<address_answer> parse_address_answer(std::string const& text);

/// The addresses of one service as one caller knows them.
struct address_book
{
    address_answer m_answer;
    core::time_point m_received{};
    std::uint64_t m_next_sequence = 0;
    /// Hosts that could not be reached, and until when they come last.
    std::map<std::string, core::time_point> m_failed;
    /// Attempts in a row without any answer, by host.
    std::map<std::string, int> m_silent_attempts;
};

/// Takes a new answer. Sequence numbers start again with a new session.
void update(address_book& book, address_answer answer, core::time_point now);

/// True when a new answer should be asked for: the lifetime is nearly over, or
/// there is no session.
bool needs_refresh(address_book const& book, core::time_point now);

/// The first address that was not tried, those that failed lately last; null
/// when all were tried.
entry_address const* choose(address_book const& book,
                            std::set<std::string> const& tried,
                            core::time_point now);

/// Puts a host last for a while. Its sessions are given up, since only that
/// host could run their requests.
void note_unreachable(address_book& book, std::string const& host,
                      core::time_point now);

/// Counts an attempt that got no answer; several in a row mean that the host
/// cannot be reached.
void note_silent(address_book& book, std::string const& host,
                 core::time_point now);

void note_answer(address_book& book, std::string const& host);

/// Forgets the session, so that no further key is made from it.
void drop_session(address_book& book);

/// A new at-most-once key, or an empty text without a session.
std::string make_key(address_book& book);

/// True when the key belongs to a session of this home.
bool is_home(std::string const& session, std::string const& host);

} // namespace hawthornspur::calling

#endif
