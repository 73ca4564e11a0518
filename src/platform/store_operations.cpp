#include "platform/store_operations.hpp"

#include <algorithm>
#include <utility>

namespace hawthornspur::platform
{

namespace
{

using state = configuration_store::state;

pending_call<stored_value> make_get_call(store_ptr const& store,
                                         std::string const& key)
{
    return pending_call<stored_value>(
        [store, key](callback<stored_value> on_answer)
        { store->m_calls.m_get(key, std::move(on_answer)); });
}

pending_call<std::uint64_t> make_swap_call(store_ptr const& store,
                                           std::string const& key,
                                           std::string const& text,
                                           key_version replaced)
{
    return pending_call<std::uint64_t>(
        [store, key, text, replaced](callback<std::uint64_t> on_answer)
        {
            store->m_calls.m_compare_and_swap(key, text, replaced,
                                              std::move(on_answer));
        });
}

error make_attempts_exhausted_error(std::string const& what)
{
    return make_error(result_code::store_unavailable,
                      what + " could not be written after several attempts");
}

} // namespace

std::string head_key(state const& store)
{
    return store.m_settings.m_prefix + "head";
}

std::string history_key(state const& store)
{
    return store.m_settings.m_prefix + "history";
}

std::string part_key(state const& store, std::string const& hash)
{
    return store.m_settings.m_prefix + "parts/" + hash;
}

error report_damaged_value(state& store, std::string const& what)
{
    ++store.m_counters.m_damaged_values;
    return make_error(result_code::store_answer_malformed,
                      "the stored " + what + " is damaged");
}

detached_task get_head(store_ptr store, callback<loaded_head> done)
{
    auto call = make_get_call(store, head_key(*store));
    auto answer = co_await call;
    if (!has_value(answer))
    {
        if (failure(answer).m_code == result_code::not_found)
        {
            done(loaded_head{});
            co_return;
        }
        done(failure(answer));
        co_return;
    }
    auto parsed = config::parse_head(value(answer).m_value);
    if (auto const* faults = std::get_if<config::fault_list>(&parsed))
    {
        done(report_damaged_value(*store,
                                  "head:\n" + config::describe(*faults)));
        co_return;
    }
    done(loaded_head{std::get<config::document_head>(std::move(parsed)),
                     value(answer).m_value, value(answer).m_version});
}

detached_task get_history(store_ptr store, callback<loaded_history> done)
{
    loaded_history found;
    for (int attempt = 0; attempt < store->m_settings.m_max_attempts; ++attempt)
    {
        auto call = make_get_call(store, history_key(*store));
        auto answer = co_await call;
        if (!has_value(answer))
        {
            if (failure(answer).m_code == result_code::not_found)
            {
                done(loaded_history{});
                co_return;
            }
            done(failure(answer));
            co_return;
        }
        found.m_version = value(answer).m_version;
        auto parsed = parse_history(value(answer).m_value);
        if (auto* history = std::get_if<document_history>(&parsed))
        {
            found.m_history = std::move(*history);
            break;
        }
        // Retried: only a value that stays damaged may be replaced.
        ++store->m_counters.m_damaged_values;
    }
    done(std::move(found));
}

detached_task get_document(store_ptr store, config::document_head head,
                           std::string head_text,
                           callback<core::configuration> done)
{
    config::stored_document stored;
    stored.m_head = std::move(head_text);
    for (auto const& hash : head.m_parts)
    {
        auto const cached = store->m_parts.find(hash);
        if (cached != store->m_parts.end())
        {
            ++store->m_counters.m_parts_from_cache;
            stored.m_parts.insert(*cached);
            continue;
        }
        auto call = make_get_call(store, part_key(*store, hash));
        auto answer = co_await call;
        if (!has_value(answer) &&
            failure(answer).m_code != result_code::not_found)
        {
            done(failure(answer));
            co_return;
        }
        if (!has_value(answer) ||
            config::content_hash(value(answer).m_value) != hash)
        {
            done(report_damaged_value(*store, "part " + hash));
            co_return;
        }
        ++store->m_counters.m_parts_fetched;
        store->m_parts.emplace(hash, value(answer).m_value);
        stored.m_parts.emplace(hash, value(answer).m_value);
    }
    auto joined = config::join_document(stored);
    if (auto const* faults = std::get_if<config::fault_list>(&joined))
    {
        done(report_damaged_value(*store,
                                  "document:\n" + config::describe(*faults)));
        co_return;
    }
    // Only the parts of this document stay cached, which bounds memory.
    store->m_parts = std::move(stored.m_parts);
    done(std::get<core::configuration>(std::move(joined)));
}

detached_task put_part(store_ptr store, std::string hash, std::string text,
                       callback<std::monostate> done)
{
    auto const key = part_key(*store, hash);
    for (int attempt = 0; attempt < store->m_settings.m_max_attempts; ++attempt)
    {
        auto read_call = make_get_call(store, key);
        auto found = co_await read_call;
        if (!has_value(found) &&
            failure(found).m_code != result_code::not_found)
        {
            done(failure(found));
            co_return;
        }
        auto const replaced =
            has_value(found) ? value(found).m_version : key_version{};
        if (has_value(found) && value(found).m_value != text &&
            config::content_hash(value(found).m_value) == hash)
        {
            done(make_error(result_code::system_failure,
                            "two different parts have the content hash " +
                                hash));
            co_return;
        }
        // An existing part is written again: its new revision keeps another
        // writer from pruning it.
        auto write_call = make_swap_call(store, key, text, replaced);
        auto const written = co_await write_call;
        if (has_value(written))
        {
            done(std::monostate{});
            co_return;
        }
        if (failure(written).m_code != result_code::version_conflict)
        {
            done(failure(written));
            co_return;
        }
    }
    done(make_attempts_exhausted_error("part " + hash));
}

detached_task put_history(store_ptr store, config::document_head replaced_head,
                          config::document_head new_head,
                          std::vector<prunable_part> prunable_parts,
                          callback<document_history> done)
{
    for (int attempt = 0; attempt < store->m_settings.m_max_attempts; ++attempt)
    {
        pending_call<loaded_history> read_call(
            [store](callback<loaded_history> on_answer)
            { get_history(store, std::move(on_answer)); });
        auto found = co_await read_call;
        if (!has_value(found))
        {
            done(failure(found));
            co_return;
        }
        auto history = std::move(value(found).m_history);
        for (auto const& part : prunable_parts)
        {
            if (part.m_is_empty)
            {
                std::erase(history.m_retired_parts, part.m_hash);
            }
        }
        if (replaced_head.m_generation != 0)
        {
            add_head(history, replaced_head, store->m_settings.m_max_heads);
        }
        add_head(history, new_head, store->m_settings.m_max_heads);
        auto write_call =
            make_swap_call(store, history_key(*store), print_history(history),
                           value(found).m_version);
        auto const written = co_await write_call;
        if (has_value(written))
        {
            done(std::move(history));
            co_return;
        }
    }
    done(make_attempts_exhausted_error("the history"));
}

detached_task find_prunable_parts(store_ptr store,
                                  config::document_head current_head,
                                  config::document_head new_head,
                                  callback<std::vector<prunable_part>> done)
{
    std::vector<prunable_part> parts;
    pending_call<loaded_history> read_call(
        [store](callback<loaded_history> on_answer)
        { get_history(store, std::move(on_answer)); });
    auto const found = co_await read_call;
    if (!has_value(found))
    {
        done(std::move(parts));
        co_return;
    }
    auto const references_part =
        [](config::document_head const& head, std::string const& hash)
    {
        return std::find(head.m_parts.begin(), head.m_parts.end(), hash) !=
               head.m_parts.end();
    };
    for (auto const& hash : value(found).m_history.m_retired_parts)
    {
        if (parts.size() == store->m_settings.m_max_pruned_parts)
        {
            break;
        }
        if (references_part(current_head, hash) ||
            references_part(new_head, hash))
        {
            continue;
        }
        auto call = make_get_call(store, part_key(*store, hash));
        auto const answer = co_await call;
        if (has_value(answer))
        {
            parts.push_back(
                {hash, value(answer).m_version, value(answer).m_value.empty()});
        }
    }
    done(std::move(parts));
}

detached_task prune_parts(store_ptr store, document_history history,
                          std::vector<prunable_part> parts,
                          callback<std::size_t> done)
{
    std::size_t pruned = 0;
    for (auto const& part : parts)
    {
        auto const is_retired =
            std::find(history.m_retired_parts.begin(),
                      history.m_retired_parts.end(),
                      part.m_hash) != history.m_retired_parts.end();
        if (part.m_is_empty || !is_retired)
        {
            continue;
        }
        // The platform cannot delete keys, so the value is set to empty.
        auto call = make_swap_call(store, part_key(*store, part.m_hash), "",
                                   part.m_version);
        auto const swapped = co_await call;
        if (has_value(swapped))
        {
            ++pruned;
        }
    }
    done(pruned);
}

} // namespace hawthornspur::platform
