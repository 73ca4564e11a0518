#include "serve/stored_configuration.hpp"

#include "platform/store_layout.hpp"
#include "serve/configuration_driver.hpp"
#include "serve/document_doubt.hpp"
#include "serve/evacuations.hpp"
#include "serve/host.hpp"

#include <algorithm>
#include <optional>
#include <string>

namespace hawthornspur::serve
{

namespace
{

/// Applies a version of the document. `read` says where it was found, and is
/// completed with what became of it.
void apply_configuration_value(entry_host& host,
                               std::optional<std::string> const& text,
                               document_read read)
{
    if (!text)
    {
        record_document_read(host, read, "the document was removed");
        return;
    }
    auto const applied =
        apply_operator_document(host, *text, core::configuration_source::store);
    if (has_value(applied))
    {
        read.m_use = value(applied);
        record_document_read(host, read);
        return;
    }
    auto const& reason = failure(applied).m_message;
    report_rejected_document(host, reason);
    record_document_read(host, read, reason);
}

/// Applies a version that a later one has replaced in the store, which may be
/// unreadable.
void apply_superseded_version(entry_host& host, std::string const& text)
{
    auto const applied =
        apply_operator_document(host, text, core::configuration_source::store);
    if (!has_value(applied))
    {
        report_rejected_document(host, failure(applied).m_message);
    }
}

} // namespace

void apply_configuration_snapshot(entry_host& host,
                                  platform::stored_range const& snapshot,
                                  bool is_latest, core::time_point asked)
{
    apply_evacuation_snapshot(host, snapshot, is_latest);
    auto const& key = host.m_adapter.m_store_layout->m_configuration_key;
    auto const item =
        std::find_if(snapshot.m_items.begin(), snapshot.m_items.end(),
                     [&](platform::stored_item const& candidate)
                     { return candidate.m_key == key; });
    document_read read;
    read.m_asked = asked;
    read.m_may_be_stale = !is_latest;
    if (item != snapshot.m_items.end())
    {
        read.m_position = {snapshot.m_epoch, item->m_revision};
        apply_configuration_value(host, item->m_value, read);
    }
    else if (is_latest && host.m_configuration.m_in_force != nullptr)
    {
        read.m_position = {snapshot.m_epoch, snapshot.m_store_revision};
        apply_configuration_value(host, std::nullopt, read);
    }
}

void apply_configuration_changes(entry_host& host,
                                 platform::range_changes const& changes,
                                 core::time_point asked)
{
    apply_evacuation_changes(host, changes);
    auto const& key = host.m_adapter.m_store_layout->m_configuration_key;
    platform::range_event const* newest = nullptr;
    for (auto const& event : changes.m_events)
    {
        if (event.m_key != key)
        {
            continue;
        }
        if (newest != nullptr && newest->m_value)
        {
            apply_superseded_version(host, *newest->m_value);
        }
        newest = &event;
    }
    if (newest != nullptr)
    {
        document_read read;
        read.m_position = {changes.m_epoch, newest->m_revision};
        read.m_asked = asked;
        apply_configuration_value(host, newest->m_value, read);
    }
}

} // namespace hawthornspur::serve
