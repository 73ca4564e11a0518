#include "platform/configuration_store.hpp"

#include "platform/store_operations.hpp"

#include <algorithm>
#include <cassert>
#include <set>
#include <utility>

namespace hawthornspur::platform
{

namespace
{

using config::document_head;

constexpr std::size_t max_value_bytes = 1'000'000;

pending_call<read_head> reading_head(store_ptr const& s)
{
    return pending_call<read_head>([s](callback<read_head> answered)
                                   { get_head(s, std::move(answered)); });
}

detached_task load_once(store_ptr s, callback<loaded_configuration> done)
{
    auto head_call = reading_head(s);
    auto head = co_await head_call;
    if (!has_value(head))
    {
        done(failure(head));
        co_return;
    }
    if (value(head).m_revision == 0)
    {
        done(make_error(result_code::not_found,
                        "no configuration is stored yet"));
        co_return;
    }
    pending_call<core::configuration> call(
        [s, &head](callback<core::configuration> answered)
        {
            get_document(s, value(head).m_head, value(head).m_text,
                         std::move(answered));
        });
    auto document = co_await call;
    if (!has_value(document))
    {
        done(failure(document));
        co_return;
    }
    done(loaded_configuration{std::move(value(document)),
                              value(head).m_revision});
}

bool is_temporary(error const& fault) noexcept
{
    return fault.m_code == result_code::store_unavailable ||
           fault.m_code == result_code::store_answer_malformed;
}

detached_task load_newest(store_ptr s, callback<loaded_configuration> done)
{
    result<loaded_configuration> loaded = error{};
    for (int attempt = 0; attempt < s->m_settings.m_attempts; ++attempt)
    {
        pending_call<loaded_configuration> call(
            [s](callback<loaded_configuration> answered)
            { load_once(s, std::move(answered)); });
        loaded = co_await call;
        // A damaged value is read again too: it may be a stale read, or the
        // head may name other parts by now.
        if (has_value(loaded) || !is_temporary(failure(loaded)))
        {
            break;
        }
    }
    done(std::move(loaded));
}

detached_task watch_head(store_ptr s, std::uint64_t after, core::duration wait,
                         callback<loaded_configuration> done)
{
    pending_call<stored_value> watching(
        [s, after, wait](callback<stored_value> answered) {
            s->m_calls.m_watch(head_key(*s), after, wait, std::move(answered));
        });
    auto const changed = co_await watching;
    if (!has_value(changed))
    {
        done(failure(changed));
        co_return;
    }
    load_newest(s, std::move(done));
}

detached_task load_kept(store_ptr s, std::uint64_t generation,
                        callback<core::configuration> done)
{
    pending_call<read_history> call([s](callback<read_history> answered)
                                    { get_history(s, std::move(answered)); });
    auto const found = co_await call;
    if (!has_value(found))
    {
        done(failure(found));
        co_return;
    }
    auto const* head = find_head(value(found).m_history, generation);
    if (head == nullptr)
    {
        done(make_error(result_code::not_found, "generation " +
                                                    std::to_string(generation) +
                                                    " is not kept"));
        co_return;
    }
    get_document(s, *head, config::print_head(*head), std::move(done));
}

/// What one `apply` knows while it tries.
struct change
{
    std::uint64_t m_based_on = 0;
    config::stored_document m_stored;
    document_head m_head;
    read_head m_current;
    /// The head that the newest write replaces.
    document_head m_previous;
    /// Parts written since m_current was read; they cannot be pruned while the
    /// head has that revision.
    std::set<std::string> m_written;
    /// A write of the head whose answer was lost.
    bool m_may_have_taken_effect = false;
    error m_last_fault;
};

enum class step : std::uint8_t
{
    done,
    write,
    again,
    conflict,
    failed,
};

/// Reads the head and decides whether the change is stored already, may be
/// written, or comes too late.
detached_task check_head(store_ptr s, std::shared_ptr<change> c,
                         callback<step> done)
{
    auto call = reading_head(s);
    auto head = co_await call;
    if (!has_value(head))
    {
        c->m_last_fault = failure(head);
        done(failure(head).m_code == result_code::store_unavailable
                 ? step::again
                 : step::failed);
        co_return;
    }
    if (value(head).m_revision != c->m_current.m_revision)
    {
        c->m_written.clear();
    }
    c->m_current = std::move(value(head));
    auto const& current = c->m_current.m_head;
    if (current.m_change_id == c->m_head.m_change_id &&
        current.m_generation == c->m_head.m_generation)
    {
        ++s->m_counters.m_answers_resolved;
        done(step::done);
        co_return;
    }
    if (current.m_generation == c->m_based_on)
    {
        done(step::write);
        co_return;
    }
    if (current.m_generation < c->m_based_on)
    {
        // A stale read, unless it stays so.
        c->m_last_fault = make_error(result_code::store_unavailable,
                                     "the store answers with generation " +
                                         std::to_string(current.m_generation) +
                                         ", older than the generation " +
                                         std::to_string(c->m_based_on) +
                                         " that the change is based on");
        done(step::again);
        co_return;
    }
    if (!c->m_may_have_taken_effect ||
        current.m_generation == c->m_head.m_generation)
    {
        done(step::conflict);
        co_return;
    }
    // Others went on after the write whose answer was lost: the history says
    // which change got this generation.
    pending_call<read_history> history_call(
        [s](callback<read_history> answered)
        { get_history(s, std::move(answered)); });
    auto const history = co_await history_call;
    auto const* taken = has_value(history) ? find_head(value(history).m_history,
                                                       c->m_head.m_generation)
                                           : nullptr;
    if (taken == nullptr)
    {
        c->m_last_fault =
            make_error(result_code::store_unavailable,
                       "the answer to the write was lost and the history "
                       "does not show its generation yet");
        done(step::again);
        co_return;
    }
    ++s->m_counters.m_answers_resolved;
    done(taken->m_change_id == c->m_head.m_change_id ? step::done
                                                     : step::conflict);
}

/// Writes the parts that are not known to be stored, then the head.
detached_task write_change(store_ptr s, std::shared_ptr<change> c,
                           std::shared_ptr<std::vector<prunable_part>> prunable,
                           callback<step> done)
{
    for (auto const& [hash, text] : c->m_stored.m_parts)
    {
        // A part that was read whole and that the current head names cannot
        // be pruned before the head changes.
        auto const& named = c->m_current.m_head.m_parts;
        auto const is_safe =
            s->m_parts.contains(hash) &&
            std::find(named.begin(), named.end(), hash) != named.end();
        if (is_safe || c->m_written.contains(hash))
        {
            continue;
        }
        pending_call<std::monostate> call(
            [s, &hash = hash, &text = text](callback<std::monostate> answered)
            { put_part(s, hash, text, std::move(answered)); });
        auto const written = co_await call;
        if (!has_value(written))
        {
            c->m_last_fault = failure(written);
            done(failure(written).m_code == result_code::store_unavailable
                     ? step::again
                     : step::failed);
            co_return;
        }
        c->m_written.insert(hash);
    }
    // Revisions of retired parts are read before the head changes: a writer
    // who needs one of these parts again either loses the head to this change
    // or raises the part's revision after this read.
    pending_call<std::vector<prunable_part>> finding(
        [s, c](callback<std::vector<prunable_part>> answered) {
            find_prunable(s, c->m_current.m_head, c->m_head,
                          std::move(answered));
        });
    auto found = co_await finding;
    *prunable = std::move(value(found));
    c->m_previous = c->m_current.m_head;
    pending_call<std::uint64_t> swapping(
        [s, c](callback<std::uint64_t> answered)
        {
            s->m_calls.m_compare_and_swap(head_key(*s), c->m_stored.m_head,
                                          c->m_current.m_revision,
                                          std::move(answered));
        });
    auto const swapped = co_await swapping;
    if (has_value(swapped))
    {
        done(step::done);
        co_return;
    }
    c->m_last_fault = failure(swapped);
    if (failure(swapped).m_code != result_code::version_conflict)
    {
        c->m_may_have_taken_effect = true;
    }
    done(step::again);
}

detached_task
finish_change(store_ptr s, std::shared_ptr<change> c,
              std::shared_ptr<std::vector<prunable_part>> prunable,
              callback<apply_result> done)
{
    apply_result outcome;
    outcome.m_generation = c->m_head.m_generation;
    pending_call<document_history> writing(
        [s, c, prunable](callback<document_history> answered) {
            put_history(s, c->m_previous, c->m_head, *prunable,
                        std::move(answered));
        });
    auto const history = co_await writing;
    outcome.m_is_in_history = has_value(history);
    if (has_value(history))
    {
        pending_call<std::size_t> pruning(
            [s, &history, prunable](callback<std::size_t> answered) {
                prune_parts(s, value(history), *prunable, std::move(answered));
            });
        auto const pruned = co_await pruning;
        outcome.m_pruned_parts = value(pruned);
    }
    s->m_parts = c->m_stored.m_parts;
    done(std::move(outcome));
}

detached_task report_conflict(store_ptr s, std::shared_ptr<change> c,
                              callback<apply_result> done)
{
    apply_result outcome;
    outcome.m_outcome = apply_outcome::conflict;
    outcome.m_generation = c->m_current.m_head.m_generation;
    pending_call<loaded_configuration> call(
        [s](callback<loaded_configuration> answered)
        { load_newest(s, std::move(answered)); });
    auto loaded = co_await call;
    if (has_value(loaded))
    {
        outcome.m_stored = std::move(value(loaded).m_document);
        outcome.m_generation = outcome.m_stored->m_generation;
    }
    done(std::move(outcome));
}

error with_effect(change const& c)
{
    return make_error(c.m_last_fault.m_code,
                      c.m_last_fault.m_message +
                          (c.m_may_have_taken_effect
                               ? "; the change may have taken effect, see the "
                                 "history"
                               : "; the change did not take effect"));
}

detached_task apply_change(store_ptr s, std::shared_ptr<change> c,
                           callback<apply_result> done)
{
    auto const prunable = std::make_shared<std::vector<prunable_part>>();
    for (int attempt = 0; attempt < s->m_settings.m_attempts; ++attempt)
    {
        pending_call<step> checking([s, c](callback<step> answered)
                                    { check_head(s, c, std::move(answered)); });
        auto next = co_await checking;
        if (value(next) == step::write)
        {
            pending_call<step> writing(
                [s, c, prunable](callback<step> answered)
                { write_change(s, c, prunable, std::move(answered)); });
            next = co_await writing;
        }
        if (value(next) == step::done)
        {
            finish_change(s, c, prunable, std::move(done));
            co_return;
        }
        if (value(next) == step::conflict)
        {
            report_conflict(s, c, std::move(done));
            co_return;
        }
        if (value(next) == step::failed)
        {
            break;
        }
    }
    done(with_effect(*c));
}

/// The fault of a document that must not be stored, if any.
std::optional<error> find_fault(config::stored_document const& stored)
{
    auto const checked = config::join_document(stored);
    if (auto const* faults = std::get_if<config::fault_list>(&checked))
    {
        return make_error(faults->front().m_code, config::describe(*faults));
    }
    for (auto const& [hash, text] : stored.m_parts)
    {
        if (text.size() > max_value_bytes)
        {
            return make_error(result_code::document_too_large,
                              "a part has " + std::to_string(text.size()) +
                                  " bytes; at most " +
                                  std::to_string(max_value_bytes) +
                                  " are allowed");
        }
    }
    return std::nullopt;
}

} // namespace

configuration_store::configuration_store(std::shared_ptr<state> s)
    : m_state(std::move(s))
{
}

configuration_store::~configuration_store() = default;

std::unique_ptr<configuration_store>
configuration_store::create(platform_calls calls,
                            configuration_store_settings settings)
{
    auto s = std::make_shared<state>();
    s->m_calls = std::move(calls);
    s->m_settings = std::move(settings);
    return std::unique_ptr<configuration_store>(
        new configuration_store(std::move(s)));
}

void configuration_store::load(callback<loaded_configuration> done)
{
    load_newest(m_state, std::move(done));
}

void configuration_store::watch(std::uint64_t after, core::duration wait,
                                callback<loaded_configuration> done)
{
    watch_head(m_state, after, wait, std::move(done));
}

void configuration_store::load_generation(std::uint64_t generation,
                                          callback<core::configuration> done)
{
    load_kept(m_state, generation, std::move(done));
}

void configuration_store::apply(core::configuration document,
                                std::uint64_t based_on,
                                callback<apply_result> done)
{
    assert(!document.m_change_id.empty());
    document.m_generation = based_on + 1;
    auto c = std::make_shared<change>();
    c->m_based_on = based_on;
    c->m_stored = config::split_document(document);
    if (auto fault = find_fault(c->m_stored))
    {
        done(std::move(*fault));
        return;
    }
    c->m_head = std::get<document_head>(config::parse_head(c->m_stored.m_head));
    apply_change(m_state, std::move(c), std::move(done));
}

void configuration_store::history(
    callback<std::vector<config::document_head>> done)
{
    get_history(m_state,
                [done = std::move(done)](result<read_history> found)
                {
                    if (!has_value(found))
                    {
                        done(failure(found));
                        return;
                    }
                    done(std::move(value(found).m_history.m_heads));
                });
}

void configuration_store::cache_parts(core::configuration const& document)
{
    m_state->m_parts.merge(config::split_document(document).m_parts);
}

configuration_store_counters const&
configuration_store::counters() const noexcept
{
    return m_state->m_counters;
}

} // namespace hawthornspur::platform
