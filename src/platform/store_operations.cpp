#include "platform/store_operations.hpp"

#include <algorithm>
#include <utility>

namespace hawthornspur::platform
{

namespace
{

using state = configuration_store::state;

pending_call<stored_value> getting(store_ptr const& s, std::string const& key)
{
    return pending_call<stored_value>(
        [s, key](callback<stored_value> answered)
        { s->m_calls.m_get(key, std::move(answered)); });
}

pending_call<std::uint64_t> swapping(store_ptr const& s, std::string const& key,
                                     std::string const& text,
                                     std::uint64_t revision)
{
    return pending_call<std::uint64_t>(
        [s, key, text, revision](callback<std::uint64_t> answered) {
            s->m_calls.m_compare_and_swap(key, text, revision,
                                          std::move(answered));
        });
}

error gave_up(std::string const& what)
{
    return make_error(result_code::store_unavailable,
                      what + " could not be written in several attempts");
}

} // namespace

std::string head_key(state const& s)
{
    return s.m_settings.m_prefix + "head";
}

std::string history_key(state const& s)
{
    return s.m_settings.m_prefix + "history";
}

std::string part_key(state const& s, std::string const& hash)
{
    return s.m_settings.m_prefix + "parts/" + hash;
}

error damaged_value(state& s, std::string const& what)
{
    ++s.m_counters.m_damaged_values;
    return make_error(result_code::store_answer_malformed,
                      "the stored " + what + " is damaged");
}

detached_task get_head(store_ptr s, callback<read_head> done)
{
    auto call = getting(s, head_key(*s));
    auto answer = co_await call;
    if (!has_value(answer))
    {
        if (failure(answer).m_code == result_code::not_found)
        {
            done(read_head{});
            co_return;
        }
        done(failure(answer));
        co_return;
    }
    auto parsed = config::parse_head(value(answer).m_value);
    if (auto const* faults = std::get_if<config::fault_list>(&parsed))
    {
        done(damaged_value(*s, "head:\n" + config::describe(*faults)));
        co_return;
    }
    done(read_head{std::get<config::document_head>(std::move(parsed)),
                   value(answer).m_value, value(answer).m_revision});
}

detached_task get_history(store_ptr s, callback<read_history> done)
{
    read_history found;
    for (int attempt = 0; attempt < s->m_settings.m_attempts; ++attempt)
    {
        auto call = getting(s, history_key(*s));
        auto answer = co_await call;
        if (!has_value(answer))
        {
            if (failure(answer).m_code == result_code::not_found)
            {
                done(read_history{});
                co_return;
            }
            done(failure(answer));
            co_return;
        }
        found.m_revision = value(answer).m_revision;
        auto parsed = parse_history(value(answer).m_value);
        if (auto* history = std::get_if<document_history>(&parsed))
        {
            found.m_history = std::move(*history);
            break;
        }
        // Read again, since only a value that stays damaged may be replaced.
        ++s->m_counters.m_damaged_values;
    }
    done(std::move(found));
}

detached_task get_document(store_ptr s, config::document_head head,
                           std::string head_text,
                           callback<core::configuration> done)
{
    config::stored_document stored;
    stored.m_head = std::move(head_text);
    for (auto const& hash : head.m_parts)
    {
        auto const known = s->m_parts.find(hash);
        if (known != s->m_parts.end())
        {
            ++s->m_counters.m_parts_from_cache;
            stored.m_parts.insert(*known);
            continue;
        }
        auto call = getting(s, part_key(*s, hash));
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
            done(damaged_value(*s, "part " + hash));
            co_return;
        }
        ++s->m_counters.m_parts_fetched;
        s->m_parts.emplace(hash, value(answer).m_value);
        stored.m_parts.emplace(hash, value(answer).m_value);
    }
    auto joined = config::join_document(stored);
    if (auto const* faults = std::get_if<config::fault_list>(&joined))
    {
        done(damaged_value(*s, "document:\n" + config::describe(*faults)));
        co_return;
    }
    // Only the parts of the newest document are kept, which bounds memory.
    s->m_parts = std::move(stored.m_parts);
    done(std::get<core::configuration>(std::move(joined)));
}

detached_task put_part(store_ptr s, std::string hash, std::string text,
                       callback<std::monostate> done)
{
    auto const key = part_key(*s, hash);
    for (int attempt = 0; attempt < s->m_settings.m_attempts; ++attempt)
    {
        auto reading = getting(s, key);
        auto found = co_await reading;
        if (!has_value(found) &&
            failure(found).m_code != result_code::not_found)
        {
            done(failure(found));
            co_return;
        }
        auto const revision = has_value(found) ? value(found).m_revision : 0;
        if (has_value(found) && value(found).m_value != text &&
            config::content_hash(value(found).m_value) == hash)
        {
            done(make_error(result_code::system_failure,
                            "two different parts have the content hash " +
                                hash));
            co_return;
        }
        // A part that is there is written again: its new revision keeps
        // another writer from pruning it in the meantime.
        auto writing = swapping(s, key, text, revision);
        auto const written = co_await writing;
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
    done(gave_up("part " + hash));
}

detached_task put_history(store_ptr s, config::document_head previous,
                          config::document_head added,
                          std::vector<prunable_part> emptied,
                          callback<document_history> done)
{
    for (int attempt = 0; attempt < s->m_settings.m_attempts; ++attempt)
    {
        pending_call<read_history> reading(
            [s](callback<read_history> answered)
            { get_history(s, std::move(answered)); });
        auto found = co_await reading;
        if (!has_value(found))
        {
            done(failure(found));
            co_return;
        }
        auto history = std::move(value(found).m_history);
        for (auto const& part : emptied)
        {
            if (part.m_is_empty)
            {
                std::erase(history.m_retired, part.m_hash);
            }
        }
        if (previous.m_generation != 0)
        {
            add_head(history, previous, s->m_settings.m_kept_heads);
        }
        add_head(history, added, s->m_settings.m_kept_heads);
        auto writing = swapping(s, history_key(*s), print_history(history),
                                value(found).m_revision);
        auto const written = co_await writing;
        if (has_value(written))
        {
            done(std::move(history));
            co_return;
        }
    }
    done(gave_up("the history"));
}

detached_task find_prunable(store_ptr s, config::document_head current,
                            config::document_head added,
                            callback<std::vector<prunable_part>> done)
{
    std::vector<prunable_part> parts;
    pending_call<read_history> reading(
        [s](callback<read_history> answered)
        { get_history(s, std::move(answered)); });
    auto const found = co_await reading;
    if (!has_value(found))
    {
        done(std::move(parts));
        co_return;
    }
    auto const is_named =
        [](config::document_head const& head, std::string const& hash)
    {
        return std::find(head.m_parts.begin(), head.m_parts.end(), hash) !=
               head.m_parts.end();
    };
    for (auto const& hash : value(found).m_history.m_retired)
    {
        if (parts.size() == s->m_settings.m_pruned_at_once)
        {
            break;
        }
        if (is_named(current, hash) || is_named(added, hash))
        {
            continue;
        }
        auto call = getting(s, part_key(*s, hash));
        auto const answer = co_await call;
        if (has_value(answer))
        {
            parts.push_back({hash, value(answer).m_revision,
                             value(answer).m_value.empty()});
        }
    }
    done(std::move(parts));
}

detached_task prune_parts(store_ptr s, document_history history,
                          std::vector<prunable_part> parts,
                          callback<std::size_t> done)
{
    std::size_t pruned = 0;
    for (auto const& part : parts)
    {
        auto const is_retired =
            std::find(history.m_retired.begin(), history.m_retired.end(),
                      part.m_hash) != history.m_retired.end();
        if (part.m_is_empty || !is_retired)
        {
            continue;
        }
        // The platform has no delete, so the value becomes empty.
        auto call = swapping(s, part_key(*s, part.m_hash), "", part.m_revision);
        auto const emptied = co_await call;
        if (has_value(emptied))
        {
            ++pruned;
        }
    }
    done(pruned);
}

} // namespace hawthornspur::platform
