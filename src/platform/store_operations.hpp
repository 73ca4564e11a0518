#ifndef HAWTHORNSPUR_PLATFORM_STORE_OPERATIONS_HPP
#define HAWTHORNSPUR_PLATFORM_STORE_OPERATIONS_HPP

#include "platform/configuration_store.hpp"
#include "platform/document_history.hpp"
#include "platform/pending_call.hpp"

#include <map>
#include <memory>
#include <string>
#include <vector>

namespace hawthornspur::platform
{

// Operations that configuration_store is composed of. Each one can be repeated
// after an error. They retry on their own only writes that may conflict with
// another writer, and reads of a damaged history.

struct configuration_store::state
{
    platform_calls m_calls;
    configuration_store_settings m_settings;
    /// Verified parts by content hash.
    std::map<std::string, std::string> m_parts;
    configuration_store_counters m_counters;
};

using store_ptr = std::shared_ptr<configuration_store::state>;

/// A head from the store. Its generation and revision are 0 if none is stored.
struct loaded_head
{
    config::document_head m_head;
    std::string m_text;
    key_version m_version;
};

struct loaded_history
{
    document_history m_history;
    key_version m_version;
};

/// A retired part and the version that can be pruned.
struct prunable_part
{
    std::string m_hash;
    key_version m_version;
    bool m_is_empty = false;
};

std::string head_key(configuration_store::state const& store);
std::string history_key(configuration_store::state const& store);
std::string part_key(configuration_store::state const& store,
                     std::string const& hash);

error report_damaged_value(configuration_store::state& store,
                           std::string const& what);

detached_task get_head(store_ptr store, callback<loaded_head> done);

/// Answers with an empty history if the stored one stays damaged. The next
/// change replaces it; the configuration does not depend on the history.
detached_task get_history(store_ptr store, callback<loaded_history> done);

/// Fetches the parts of a head that are not cached and joins the document.
detached_task get_document(store_ptr store, config::document_head head,
                           std::string head_text,
                           callback<core::configuration> done);

/// Stores a part and protects it from pruning until the head changes.
detached_task put_part(store_ptr store, std::string hash, std::string text,
                       callback<std::monostate> done);

/// Adds both heads to the history and removes the retired parts that are
/// already empty. Answers with the history as written.
detached_task put_history(store_ptr store, config::document_head replaced_head,
                          config::document_head new_head,
                          std::vector<prunable_part> prunable_parts,
                          callback<document_history> done);

/// Reads the retired parts that a change may prune after it is stored. An
/// unreadable history or part is skipped.
detached_task find_prunable_parts(store_ptr store,
                                  config::document_head current_head,
                                  config::document_head new_head,
                                  callback<std::vector<prunable_part>> done);

/// Empties the parts that are still retired. Answers with the number of emptied
/// parts.
detached_task prune_parts(store_ptr store, document_history history,
                          std::vector<prunable_part> parts,
                          callback<std::size_t> done);

} // namespace hawthornspur::platform

#endif
