#include "core/once_table.hpp"

#include <xxhash.h>

#include <algorithm>
#include <array>
#include <cassert>
#include <map>
#include <unordered_map>

namespace hawthornspur::core
{

namespace
{

// The part of a key that differs between the keys of one epoch.
struct key_in_epoch
{
    std::uint64_t m_nonce = 0;
    std::uint64_t m_sequence = 0;
    friend bool operator==(key_in_epoch const&, key_in_epoch const&) = default;
};

struct key_hash
{
    std::uint64_t m_seed = 0;
    std::size_t operator()(key_in_epoch const& key) const noexcept
    {
        std::array<std::uint64_t, 2> const words{key.m_nonce, key.m_sequence};
        return XXH64(words.data(), sizeof(words), m_seed);
    }
};

enum class key_state : std::uint8_t
{
    queued,
    dispatched,
    /// Ended with a kept answer or with a code.
    ended,
};

struct entry
{
    key_state m_state = key_state::queued;
    std::uint64_t m_fingerprint = 0;
    request_id m_first_request;
    std::vector<request_id> m_copies;
    std::optional<kept_answer> m_answer;
    result_code m_code = result_code::ok;
};

using epoch_keys = std::unordered_map<key_in_epoch, entry, key_hash>;

// Bounds the time that remove_expired_keys() takes on the event loop.
constexpr std::size_t max_removals_per_call = 2000;

} // namespace

struct once_table
{
    once_table_settings m_settings;
    // The epoch at the last change of the key lifetime, and the time of that
    // change.
    std::uint64_t m_first_epoch = 1;
    time_point m_first_epoch_start;
    std::map<std::uint64_t, epoch_keys> m_epochs;
    std::size_t m_size = 0;
    std::size_t m_kept_bytes = 0;
};

void once_table_deleter::operator()(once_table* table) const noexcept
{
    delete table;
}

namespace
{

std::size_t byte_size(kept_answer const& answer) noexcept
{
    auto bytes = sizeof(kept_answer) + answer.m_body.size();
    for (auto const& [name, value] : answer.m_headers)
    {
        bytes += sizeof(std::pair<std::string, std::string>) + name.size() +
                 value.size();
    }
    return bytes;
}

bool is_home_of(once_table const& table, once_key const& key) noexcept
{
    return key.m_session.m_home == table.m_settings.m_home &&
           key.m_session.m_incarnation == table.m_settings.m_incarnation;
}

bool is_expired(std::uint64_t epoch, std::uint64_t current_epoch) noexcept
{
    return epoch + 1 < current_epoch;
}

struct entry_position
{
    std::map<std::uint64_t, epoch_keys>::iterator m_epoch;
    epoch_keys::iterator m_entry;
};

std::optional<entry_position> find(once_table& table, once_key const& key)
{
    assert(is_home_of(table, key));
    auto const epoch = table.m_epochs.find(key.m_session.m_epoch);
    if (epoch == table.m_epochs.end())
    {
        return std::nullopt;
    }
    auto const found =
        epoch->second.find({key.m_session.m_nonce, key.m_sequence});
    if (found == epoch->second.end())
    {
        return std::nullopt;
    }
    return entry_position{epoch, found};
}

epoch_keys::iterator erase(once_table& table, epoch_keys& keys,
                           epoch_keys::iterator position)
{
    if (position->second.m_answer)
    {
        table.m_kept_bytes -= byte_size(*position->second.m_answer);
    }
    --table.m_size;
    return keys.erase(position);
}

once_decision decide_on_copy(entry& first, std::uint64_t fingerprint,
                             request_id copy)
{
    if (first.m_fingerprint != fingerprint)
    {
        return once_refuse{result_code::once_key_reused};
    }
    if (first.m_state != key_state::ended)
    {
        first.m_copies.push_back(copy);
        return once_join{first.m_first_request};
    }
    if (first.m_answer)
    {
        return once_replay{*first.m_answer};
    }
    return once_refuse{first.m_code};
}

} // namespace

once_table_ptr make_once_table(once_table_settings settings, time_point now)
{
    assert(settings.m_key_lifetime > duration::zero());
    once_table_ptr table{new once_table};
    table->m_settings = std::move(settings);
    table->m_first_epoch_start = now;
    return table;
}

std::uint64_t current_epoch(once_table const& table, time_point now)
{
    assert(now >= table.m_first_epoch_start);
    return table.m_first_epoch +
           static_cast<std::uint64_t>((now - table.m_first_epoch_start) /
                                      table.m_settings.m_key_lifetime);
}

void set_key_lifetime(once_table& table, duration lifetime, time_point now)
{
    assert(lifetime > duration::zero());
    if (lifetime == table.m_settings.m_key_lifetime)
    {
        return;
    }
    // Epoch numbers never decrease: an expired epoch must not be accepted
    // again.
    table.m_first_epoch = current_epoch(table, now);
    table.m_first_epoch_start = now;
    table.m_settings.m_key_lifetime = lifetime;
}

once_decision begin_request(once_table& table, once_key const& key,
                            std::uint64_t fingerprint, request_id request,
                            time_point now)
{
    if (!is_home_of(table, key))
    {
        return once_refuse{result_code::once_key_other_incarnation};
    }
    auto const current = current_epoch(table, now);
    auto const epoch = key.m_session.m_epoch;
    if (epoch > current || epoch == 0)
    {
        // This process never issued such a session, so no copy has run.
        return once_refuse{result_code::once_key_malformed};
    }
    if (is_expired(epoch, current))
    {
        return once_refuse{result_code::once_key_expired};
    }
    if (auto const found = find(table, key))
    {
        return decide_on_copy(found->m_entry->second, fingerprint, request);
    }
    if (table.m_size >= table.m_settings.m_max_keys)
    {
        remove_expired_keys(table, now);
        if (table.m_size >= table.m_settings.m_max_keys)
        {
            return once_refuse{result_code::once_table_full};
        }
    }
    auto [position, is_new] = table.m_epochs.try_emplace(epoch);
    if (is_new)
    {
        // The random incarnation seeds the hash, so callers cannot choose keys
        // that collide. All buckets are reserved now, since a rehash of a full
        // table would block the event loop for milliseconds.
        position->second =
            epoch_keys(0, key_hash{table.m_settings.m_incarnation});
        position->second.reserve(table.m_settings.m_max_keys);
    }
    auto& added = position->second[{key.m_session.m_nonce, key.m_sequence}];
    added.m_fingerprint = fingerprint;
    added.m_first_request = request;
    ++table.m_size;
    return once_run{};
}

void mark_dispatched(once_table& table, once_key const& key)
{
    auto const found = find(table, key);
    assert(found);
    assert(found->m_entry->second.m_state != key_state::ended);
    found->m_entry->second.m_state = key_state::dispatched;
}

std::vector<request_id> finish_request(once_table& table, once_key const& key,
                                       std::optional<kept_answer> answer,
                                       result_code code, time_point now)
{
    // A request that certainly did not run ends with release_key().
    assert(answer || info(code).m_execution != execution::not_run);
    auto const found = find(table, key);
    if (!found || found->m_entry->second.m_state == key_state::ended)
    {
        return {};
    }
    auto& ended = found->m_entry->second;
    auto copies = std::move(ended.m_copies);
    ended.m_copies = {};
    if (is_expired(key.m_session.m_epoch, current_epoch(table, now)))
    {
        erase(table, found->m_epoch->second, found->m_entry);
        return copies;
    }
    ended.m_state = key_state::ended;
    ended.m_code =
        code == result_code::ok ? result_code::answer_not_kept : code;
    if (answer)
    {
        auto const bytes = byte_size(*answer);
        if (bytes <= table.m_settings.m_max_kept_answer_bytes &&
            bytes + table.m_kept_bytes <= table.m_settings.m_max_kept_bytes)
        {
            table.m_kept_bytes += bytes;
            ended.m_answer = std::move(answer);
        }
        else
        {
            ended.m_code = result_code::answer_not_kept;
        }
    }
    return copies;
}

std::vector<request_id> release_key(once_table& table, once_key const& key)
{
    auto const found = find(table, key);
    // A request ended by finish_request() may have run: its key stays in use.
    if (!found || found->m_entry->second.m_state == key_state::ended)
    {
        return {};
    }
    auto copies = std::move(found->m_entry->second.m_copies);
    erase(table, found->m_epoch->second, found->m_entry);
    return copies;
}

void remove_copy(once_table& table, once_key const& key, request_id copy)
{
    if (auto const found = find(table, key))
    {
        std::erase(found->m_entry->second.m_copies, copy);
    }
}

void remove_expired_keys(once_table& table, time_point now)
{
    auto const current = current_epoch(table, now);
    std::size_t removals = 0;
    auto epoch = table.m_epochs.begin();
    while (epoch != table.m_epochs.end() && is_expired(epoch->first, current))
    {
        auto& keys = epoch->second;
        for (auto position = keys.begin(); position != keys.end();)
        {
            if (removals >= max_removals_per_call)
            {
                return;
            }
            if (position->second.m_state == key_state::ended)
            {
                position = erase(table, keys, position);
                ++removals;
            }
            else
            {
                ++position;
            }
        }
        epoch = keys.empty() ? table.m_epochs.erase(epoch) : std::next(epoch);
    }
}

std::size_t size(once_table const& table) noexcept
{
    return table.m_size;
}

std::size_t kept_bytes(once_table const& table) noexcept
{
    return table.m_kept_bytes;
}

} // namespace hawthornspur::core
