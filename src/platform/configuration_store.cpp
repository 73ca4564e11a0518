#include "platform/configuration_store.hpp"

#include "core/configuration_state.hpp"
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

pending_call<loaded_head> make_head_call(store_ptr const& store)
{
    return pending_call<loaded_head>(
        [store](callback<loaded_head> on_answer)
        { get_head(store, std::move(on_answer)); });
}

detached_task load_configuration_once(store_ptr store,
                                      callback<loaded_configuration> done)
{
    auto head_call = make_head_call(store);
    auto head = co_await head_call;
    if (!has_value(head))
    {
        done(failure(head));
        co_return;
    }
    if (value(head).m_version.m_revision == 0)
    {
        done(make_error(result_code::not_found,
                        "no configuration is stored yet"));
        co_return;
    }
    pending_call<core::configuration> call(
        [store, &head](callback<core::configuration> on_answer)
        {
            get_document(store, value(head).m_head, value(head).m_text,
                         std::move(on_answer));
        });
    auto document = co_await call;
    if (!has_value(document))
    {
        done(failure(document));
        co_return;
    }
    done(loaded_configuration{std::move(value(document)),
                              value(head).m_version.m_revision});
}

bool is_retryable(error const& fault) noexcept
{
    return fault.m_code == result_code::store_unavailable ||
           fault.m_code == result_code::store_answer_malformed;
}

detached_task load_with_retries(store_ptr store,
                                callback<loaded_configuration> done)
{
    result<loaded_configuration> loaded = error{};
    for (int attempt = 0; attempt < store->m_settings.m_max_attempts; ++attempt)
    {
        pending_call<loaded_configuration> call(
            [store](callback<loaded_configuration> on_answer)
            { load_configuration_once(store, std::move(on_answer)); });
        loaded = co_await call;
        // A damaged value is retried as well: the read may have been stale, or
        // the head may reference other parts now.
        if (has_value(loaded) || !is_retryable(failure(loaded)))
        {
            break;
        }
    }
    done(std::move(loaded));
}

detached_task watch_head(store_ptr store, std::uint64_t after,
                         core::duration wait,
                         callback<loaded_configuration> done)
{
    pending_call<stored_value> watch_call(
        [store, after, wait](callback<stored_value> on_answer)
        {
            store->m_calls.m_watch(head_key(*store), after, wait,
                                   std::move(on_answer));
        });
    auto const changed = co_await watch_call;
    if (!has_value(changed))
    {
        done(failure(changed));
        co_return;
    }
    load_with_retries(store, std::move(done));
}

detached_task load_from_history(store_ptr store, std::uint64_t generation,
                                callback<core::configuration> done)
{
    pending_call<loaded_history> call(
        [store](callback<loaded_history> on_answer)
        { get_history(store, std::move(on_answer)); });
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
                                                    " is not in the history"));
        co_return;
    }
    get_document(store, *head, config::print_head(*head), std::move(done));
}

/// State of one `apply` across its attempts.
struct pending_change
{
    std::uint64_t m_based_on = 0;
    config::stored_document m_document;
    document_head m_new_head;
    loaded_head m_current_head;
    /// The head that the last write was meant to replace.
    document_head m_replaced_head;
    /// Parts written since m_current_head was read. They cannot be pruned while
    /// the head has that version.
    std::set<std::string> m_written_parts;
    /// True after a write of the head whose answer was lost.
    bool m_may_have_taken_effect = false;
    error m_last_error;
};

enum class apply_action : std::uint8_t
{
    done,
    write,
    retry,
    conflict,
    failed,
};

void set_generation(pending_change& change, std::uint64_t generation)
{
    change.m_new_head.m_generation = generation;
    change.m_document.m_head = config::print_head(change.m_new_head);
}

/// Reads the head and decides whether the change is already stored, can be
/// written, or conflicts with another one.
detached_task check_head(store_ptr store,
                         std::shared_ptr<pending_change> change,
                         callback<apply_action> done)
{
    auto call = make_head_call(store);
    auto head = co_await call;
    if (!has_value(head))
    {
        change->m_last_error = failure(head);
        done(failure(head).m_code == result_code::store_unavailable
                 ? apply_action::retry
                 : apply_action::failed);
        co_return;
    }
    if (value(head).m_version != change->m_current_head.m_version)
    {
        change->m_written_parts.clear();
    }
    change->m_current_head = std::move(value(head));
    auto const& current = change->m_current_head.m_head;
    auto const next_generation = core::next_generation(
        change->m_based_on, change->m_current_head.m_version.m_epoch);
    if (current.m_change_id == change->m_new_head.m_change_id &&
        (current.m_generation == change->m_new_head.m_generation ||
         current.m_generation == next_generation))
    {
        set_generation(*change, current.m_generation);
        ++store->m_counters.m_answers_resolved;
        done(apply_action::done);
        co_return;
    }
    if (current.m_generation == change->m_based_on)
    {
        set_generation(*change, next_generation);
        done(apply_action::write);
        co_return;
    }
    if (current.m_generation < change->m_based_on)
    {
        // Probably a stale read. Reported if every attempt finds it.
        change->m_last_error =
            make_error(result_code::store_unavailable,
                       "the store returned generation " +
                           std::to_string(current.m_generation) +
                           ", older than the generation " +
                           std::to_string(change->m_based_on) +
                           " that the change is based on");
        done(apply_action::retry);
        co_return;
    }
    if (!change->m_may_have_taken_effect ||
        current.m_generation == change->m_new_head.m_generation)
    {
        done(apply_action::conflict);
        co_return;
    }
    // Other changes followed the write whose answer was lost. The history
    // shows which change has this generation.
    pending_call<loaded_history> history_call(
        [store](callback<loaded_history> on_answer)
        { get_history(store, std::move(on_answer)); });
    auto const history = co_await history_call;
    auto const* found_head = has_value(history)
                                 ? find_head(value(history).m_history,
                                             change->m_new_head.m_generation)
                                 : nullptr;
    if (found_head == nullptr)
    {
        change->m_last_error =
            make_error(result_code::store_unavailable,
                       "the answer to the write was lost and the history "
                       "does not show its generation yet");
        done(apply_action::retry);
        co_return;
    }
    ++store->m_counters.m_answers_resolved;
    done(found_head->m_change_id == change->m_new_head.m_change_id
             ? apply_action::done
             : apply_action::conflict);
}

/// Writes the parts that may be missing in the store, then the head.
detached_task write_change(store_ptr store,
                           std::shared_ptr<pending_change> change,
                           std::shared_ptr<std::vector<prunable_part>> prunable,
                           callback<apply_action> done)
{
    for (auto const& [hash, text] : change->m_document.m_parts)
    {
        // A part that was read intact and is referenced by the current head
        // cannot be pruned before the head changes.
        auto const& referenced = change->m_current_head.m_head.m_parts;
        auto const is_stored = store->m_parts.contains(hash) &&
                               std::find(referenced.begin(), referenced.end(),
                                         hash) != referenced.end();
        if (is_stored || change->m_written_parts.contains(hash))
        {
            continue;
        }
        pending_call<std::monostate> call(
            [store, &hash = hash,
             &text = text](callback<std::monostate> on_answer)
            { put_part(store, hash, text, std::move(on_answer)); });
        auto const written = co_await call;
        if (!has_value(written))
        {
            change->m_last_error = failure(written);
            done(failure(written).m_code == result_code::store_unavailable
                     ? apply_action::retry
                     : apply_action::failed);
            co_return;
        }
        change->m_written_parts.insert(hash);
    }
    // The revisions of retired parts are read before the head changes. A
    // writer that reuses one of these parts either fails to replace the head or
    // raises the part's revision after this read, which prevents the pruning.
    pending_call<std::vector<prunable_part>> find_call(
        [store, change](callback<std::vector<prunable_part>> on_answer)
        {
            find_prunable_parts(store, change->m_current_head.m_head,
                                change->m_new_head, std::move(on_answer));
        });
    auto found = co_await find_call;
    *prunable = std::move(value(found));
    change->m_replaced_head = change->m_current_head.m_head;
    pending_call<std::uint64_t> swap_call(
        [store, change](callback<std::uint64_t> on_answer)
        {
            store->m_calls.m_compare_and_swap(
                head_key(*store), change->m_document.m_head,
                change->m_current_head.m_version, std::move(on_answer));
        });
    auto const swapped = co_await swap_call;
    if (has_value(swapped))
    {
        done(apply_action::done);
        co_return;
    }
    change->m_last_error = failure(swapped);
    if (failure(swapped).m_code != result_code::version_conflict)
    {
        change->m_may_have_taken_effect = true;
    }
    done(apply_action::retry);
}

detached_task
finish_change(store_ptr store, std::shared_ptr<pending_change> change,
              std::shared_ptr<std::vector<prunable_part>> prunable,
              callback<apply_result> done)
{
    apply_result outcome;
    outcome.m_generation = change->m_new_head.m_generation;
    pending_call<document_history> write_call(
        [store, change, prunable](callback<document_history> on_answer)
        {
            put_history(store, change->m_replaced_head, change->m_new_head,
                        *prunable, std::move(on_answer));
        });
    auto const history = co_await write_call;
    outcome.m_is_in_history = has_value(history);
    if (has_value(history))
    {
        pending_call<std::size_t> prune_call(
            [store, &history, prunable](callback<std::size_t> on_answer) {
                prune_parts(store, value(history), *prunable,
                            std::move(on_answer));
            });
        auto const pruned = co_await prune_call;
        outcome.m_pruned_parts = value(pruned);
    }
    store->m_parts = change->m_document.m_parts;
    done(std::move(outcome));
}

detached_task report_conflict(store_ptr store,
                              std::shared_ptr<pending_change> change,
                              callback<apply_result> done)
{
    apply_result outcome;
    outcome.m_outcome = apply_outcome::conflict;
    outcome.m_generation = change->m_current_head.m_head.m_generation;
    pending_call<loaded_configuration> call(
        [store](callback<loaded_configuration> on_answer)
        { load_with_retries(store, std::move(on_answer)); });
    auto loaded = co_await call;
    if (has_value(loaded))
    {
        outcome.m_stored = std::move(value(loaded).m_document);
        outcome.m_generation = outcome.m_stored->m_generation;
    }
    done(std::move(outcome));
}

error make_apply_error(pending_change const& change)
{
    return make_error(change.m_last_error.m_code,
                      change.m_last_error.m_message +
                          (change.m_may_have_taken_effect
                               ? "; the change may have taken effect, see the "
                                 "history"
                               : "; the change did not take effect"));
}

detached_task apply_change(store_ptr store,
                           std::shared_ptr<pending_change> change,
                           callback<apply_result> done)
{
    auto const prunable = std::make_shared<std::vector<prunable_part>>();
    for (int attempt = 0; attempt < store->m_settings.m_max_attempts; ++attempt)
    {
        pending_call<apply_action> check_call(
            [store, change](callback<apply_action> on_answer)
            { check_head(store, change, std::move(on_answer)); });
        auto next = co_await check_call;
        if (value(next) == apply_action::write)
        {
            pending_call<apply_action> write_call(
                [store, change, prunable](callback<apply_action> on_answer) {
                    write_change(store, change, prunable, std::move(on_answer));
                });
            next = co_await write_call;
        }
        if (value(next) == apply_action::done)
        {
            finish_change(store, change, prunable, std::move(done));
            co_return;
        }
        if (value(next) == apply_action::conflict)
        {
            report_conflict(store, change, std::move(done));
            co_return;
        }
        if (value(next) == apply_action::failed)
        {
            break;
        }
    }
    done(make_apply_error(*change));
}

/// Returns an error if the document is invalid or one of its parts is too
/// large.
std::optional<error> validate_document(config::stored_document const& document)
{
    auto const checked = config::join_document(document);
    if (auto const* faults = std::get_if<config::fault_list>(&checked))
    {
        return make_error(faults->front().m_code, config::describe(*faults));
    }
    for (auto const& [hash, text] : document.m_parts)
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

configuration_store::configuration_store(std::shared_ptr<state> store)
    : m_state(std::move(store))
{
}

configuration_store::~configuration_store() = default;

std::unique_ptr<configuration_store>
configuration_store::create(platform_calls calls,
                            configuration_store_settings settings)
{
    auto store = std::make_shared<state>();
    store->m_calls = std::move(calls);
    store->m_settings = std::move(settings);
    return std::unique_ptr<configuration_store>(
        new configuration_store(std::move(store)));
}

void configuration_store::load(callback<loaded_configuration> done)
{
    load_with_retries(m_state, std::move(done));
}

void configuration_store::watch(std::uint64_t after, core::duration wait,
                                callback<loaded_configuration> done)
{
    watch_head(m_state, after, wait, std::move(done));
}

void configuration_store::load_generation(std::uint64_t generation,
                                          callback<core::configuration> done)
{
    load_from_history(m_state, generation, std::move(done));
}

void configuration_store::apply(core::configuration document,
                                std::uint64_t based_on,
                                callback<apply_result> done)
{
    assert(!document.m_change_id.empty());
    document.m_generation = based_on + 1;
    auto change = std::make_shared<pending_change>();
    change->m_based_on = based_on;
    change->m_document = config::split_document(document);
    if (auto invalid = validate_document(change->m_document))
    {
        done(std::move(*invalid));
        return;
    }
    change->m_new_head =
        std::get<document_head>(config::parse_head(change->m_document.m_head));
    apply_change(m_state, std::move(change), std::move(done));
}

void configuration_store::history(
    callback<std::vector<config::document_head>> done)
{
    get_history(m_state,
                [done = std::move(done)](result<loaded_history> found)
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
