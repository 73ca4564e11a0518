#ifndef HAWTHORNSPUR_CORE_ONCE_TABLE_HPP
#define HAWTHORNSPUR_CORE_ONCE_TABLE_HPP

#include "core/ids.hpp"
#include "core/once_key.hpp"
#include "core/time.hpp"
#include <hawthornspur/result_code.hpp>

#include <cstddef>
#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <utility>
#include <variant>
#include <vector>

namespace hawthornspur::core
{

/// Deduplicates the requests whose at-most-once keys have this process as their
/// home. There is one table per process; a restarted host has a new
/// incarnation and does not accept the keys of its predecessor.
struct once_table;

struct once_table_deleter
{
    void operator()(once_table* table) const noexcept;
};
using once_table_ptr = std::unique_ptr<once_table, once_table_deleter>;

struct once_table_settings
{
    std::string m_home;
    std::uint64_t m_incarnation = 0;
    /// Length of an epoch. A key is accepted in its epoch and the next one.
    duration m_key_lifetime = std::chrono::seconds(60);
    std::size_t m_max_keys = 100'000;
    /// Larger answers are not kept.
    std::size_t m_max_kept_answer_bytes = std::size_t{64} << 10U;
    /// Upper bound on the size of all kept answers together.
    std::size_t m_max_kept_bytes = std::size_t{32} << 20U;
};

/// An answer kept for replay to copies of its request: later requests with the
/// same key.
struct kept_answer
{
    int m_status = 0;
    std::vector<std::pair<std::string, std::string>> m_headers;
    std::string m_body;
};

/// The request is the first with its key and has to be run.
struct once_run
{
};

/// The first request with the key has not ended. finish_request() and
/// release_key() return the copy, which then gets the same result.
struct once_join
{
    request_id m_first_request;
};

/// The first request with the key has ended; the copy gets the same answer.
struct once_replay
{
    kept_answer m_answer;
};

/// The request does not run. The code gives the reason, or the outcome of the
/// first request if that ended without a kept answer.
struct once_refuse
{
    result_code m_code = result_code::ok;
};

using once_decision =
    std::variant<once_run, once_join, once_replay, once_refuse>;

once_table_ptr make_once_table(once_table_settings settings, time_point now);

/// The epoch that is announced to peers and put into new sessions. Starts
/// at 1.
std::uint64_t current_epoch(once_table const& table, time_point now);

/// Changes the key lifetime. The current epoch keeps its number and starts
/// anew, so keys in use may expire earlier or later than before.
void set_key_lifetime(once_table& table, duration lifetime, time_point now);

/// Decides whether a request with a key runs, and adds the key to the table if
/// it does. `fingerprint` is a hash of method, URI and body; a key that was
/// used with another fingerprint is refused.
once_decision begin_request(once_table& table, once_key const& key,
                            std::uint64_t fingerprint, request_id request,
                            time_point now);

/// Records that the request was sent towards a target.
void mark_dispatched(once_table& table, once_key const& key);

/// Records that the request ended and may have run. Returns the copies that
/// wait for its answer. Without an answer, later copies are refused with
/// `code`, which must not mean "not run". Has no effect on a request that has
/// ended.
std::vector<request_id> finish_request(once_table& table, once_key const& key,
                                       std::optional<kept_answer> answer,
                                       result_code code, time_point now);

/// Removes the key of a request that ended and certainly did not run: it was
/// never sent, or the target refused it. The key may be used again. Returns the
/// copies that waited for the answer. Has no effect on a request that was
/// recorded as ended by finish_request().
std::vector<request_id> release_key(once_table& table, once_key const& key);

/// Removes a copy that no longer waits for the answer, as its caller is gone.
void remove_copy(once_table& table, once_key const& key, request_id copy);

/// Removes keys of epochs that are no longer accepted, unless their request is
/// still running. Removes a bounded number per call; to be called several times
/// a second.
void remove_expired_keys(once_table& table, time_point now);

/// Number of keys in the table.
std::size_t size(once_table const& table) noexcept;

/// Size of all kept answers in bytes.
std::size_t kept_bytes(once_table const& table) noexcept;

} // namespace hawthornspur::core

#endif
