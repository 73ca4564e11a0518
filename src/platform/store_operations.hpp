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

// The steps that configuration_store is made of. Each one may be repeated
// after an error. A step tries again by itself only where another writer may
// have come first.

struct configuration_store::state
{
    platform_calls m_calls;
    configuration_store_settings m_settings;
    /// Parts that were read and found whole, by content hash.
    std::map<std::string, std::string> m_parts;
    configuration_store_counters m_counters;
};

using store_ptr = std::shared_ptr<configuration_store::state>;

/// A head as it was read; generation 0 and revision 0 when there is none.
struct read_head
{
    config::document_head m_head;
    std::string m_text;
    std::uint64_t m_revision = 0;
};

struct read_history
{
    document_history m_history;
    std::uint64_t m_revision = 0;
};

/// A retired part with the revision that the pruning names.
struct prunable_part
{
    std::string m_hash;
    std::uint64_t m_revision = 0;
    bool m_is_empty = false;
};

std::string head_key(configuration_store::state const& s);
std::string history_key(configuration_store::state const& s);
std::string part_key(configuration_store::state const& s,
                     std::string const& hash);

error damaged_value(configuration_store::state& s, std::string const& what);

detached_task get_head(store_ptr s, callback<read_head> done);

/// A damaged history is taken for an empty one, which the next change
/// replaces: the configuration itself does not depend on it.
detached_task get_history(store_ptr s, callback<read_history> done);

/// Fetches the parts of a head that are not known, and joins the document.
detached_task get_document(store_ptr s, config::document_head head,
                           std::string head_text,
                           callback<core::configuration> done);

/// Makes sure that a part is stored and will not be pruned before the head is
/// next changed.
detached_task put_part(store_ptr s, std::string hash, std::string text,
                       callback<std::monostate> done);

/// Writes both heads into the history, and forgets the retired parts that are
/// empty already. Answers with the history as written.
detached_task put_history(store_ptr s, config::document_head previous,
                          config::document_head added,
                          std::vector<prunable_part> emptied,
                          callback<document_history> done);

/// Reads the retired parts that a change may prune once it is stored.
detached_task find_prunable(store_ptr s, config::document_head current,
                            config::document_head added,
                            callback<std::vector<prunable_part>> done);

/// Empties the parts that are still retired. Answers with their number.
detached_task prune_parts(store_ptr s, document_history history,
                          std::vector<prunable_part> parts,
                          callback<std::size_t> done);

} // namespace hawthornspur::platform

#endif
