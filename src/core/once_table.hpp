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

/// The at-most-once keys of which this process is the home. Lives as long as
/// the process; another process is another incarnation and another home.
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
    /// Answers above this size are not kept for copies.
    std::size_t m_max_kept_answer_bytes = std::size_t{64} << 10U;
    /// Bound on all kept answers together.
    std::size_t m_max_kept_bytes = std::size_t{32} << 20U;
};

/// An answer kept for copies of the request.
struct kept_answer
{
    int m_status = 0;
    std::vector<std::pair<std::string, std::string>> m_headers;
    std::string m_body;
};

/// Run the request; it is the first with this key.
struct once_run
{
};

/// The first request with this key is still running; the copy gets the same
/// answer through finish_request() or release_key().
struct once_join
{
    request_id m_first;
};

struct once_replay
{
    kept_answer m_answer;
};

struct once_refuse
{
    result_code m_code = result_code::ok;
};

using once_decision =
    std::variant<once_run, once_join, once_replay, once_refuse>;

once_table_ptr make_once_table(once_table_settings settings, time_point now);

/// The epoch announced to peers and put into new sessions.
std::uint64_t current_epoch(once_table const& table, time_point now);

/// Takes over a key lifetime from a new configuration. The epoch goes on from
/// its present number, so keys in use may live longer or shorter once.
void set_key_lifetime(once_table& table, duration lifetime, time_point now);

/// Decides about a request with a key. `fingerprint` identifies method, URI
/// and body, so that a key used for another request is refused.
once_decision begin_request(once_table& table, once_key const& key,
                            std::uint64_t fingerprint, request_id request,
                            time_point now);

/// The request was sent towards a target; from here on it never runs again.
void mark_dispatched(once_table& table, once_key const& key);

/// The request ended and may have run. Returns the copies that wait for its
/// answer. Without an answer, later copies are told `code`, which must not
/// mean "not run". A second end of the same request is ignored.
std::vector<request_id> finish_request(once_table& table, once_key const& key,
                                       std::optional<kept_answer> answer,
                                       result_code code, time_point now);

/// The request ended and certainly did not run, either because it was never
/// sent or because the target refused it as not run; the key may be used again.
/// Returns the copies that waited for it.
std::vector<request_id> release_key(once_table& table, once_key const& key);

/// A copy went away before the answer.
void remove_copy(once_table& table, once_key const& key, request_id copy);

/// Forgets keys whose epoch is no longer accepted and which are not running; a
/// bounded number each call. To be called several times a second.
void remove_expired_keys(once_table& table, time_point now);

std::size_t size(once_table const& table) noexcept;

/// Bytes of all kept answers.
std::size_t kept_bytes(once_table const& table) noexcept;

} // namespace hawthornspur::core

#endif
