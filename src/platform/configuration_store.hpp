#ifndef HAWTHORNSPUR_PLATFORM_CONFIGURATION_STORE_HPP
#define HAWTHORNSPUR_PLATFORM_CONFIGURATION_STORE_HPP

#include "config/document.hpp"
#include "core/configuration.hpp"
#include "platform/document_history.hpp"
#include "platform/platform_calls.hpp"

#include <cstddef>
#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace hawthornspur::platform
{

struct configuration_store_settings
{
    std::string m_prefix = "hawthornspur/";
    /// Heads kept in the history.
    std::size_t m_max_heads = 20;
    /// Attempts of each operation before its error is reported. The call
    /// limiter adds the backoff between them.
    int m_max_attempts = 6;
    /// Upper limit of retired parts that one `apply` prunes, which bounds its
    /// calls.
    std::size_t m_max_pruned_parts = 10;
};

struct loaded_configuration
{
    core::configuration m_document;
    /// Revision of the head, from which a watch for the next one starts.
    std::uint64_t m_head_revision = 0;
};

enum class apply_outcome : std::uint8_t
{
    stored,
    /// The stored generation is no longer `based_on`.
    conflict,
};

struct apply_result
{
    apply_outcome m_outcome = apply_outcome::stored;
    /// The new generation after success, the stored one after a conflict.
    std::uint64_t m_generation = 0;
    /// The stored document after a conflict, if it could be read.
    std::optional<core::configuration> m_stored;
    /// False if the history could not be written. The next change adds the
    /// missing entry.
    bool m_is_in_history = true;
    std::size_t m_pruned_parts = 0;
};

struct configuration_store_counters
{
    std::uint64_t m_parts_fetched = 0;
    std::uint64_t m_parts_from_cache = 0;
    std::uint64_t m_damaged_values = 0;
    std::uint64_t m_answers_resolved = 0;
};

/// Configuration documents in the platform's store. A document consists of a
/// head, which is replaced by compare-and-swap, and of immutable parts stored
/// under their content hash. Several processes may use the same store
/// concurrently. Calls that are in flight may outlive this object.
class configuration_store
{
public:
    static std::unique_ptr<configuration_store>
    create(platform_calls calls, configuration_store_settings settings);
    ~configuration_store();
    configuration_store(configuration_store const&) = delete;
    configuration_store& operator=(configuration_store const&) = delete;

    /// Loads the newest document: its head and the parts that are not cached.
    /// Errors: not_found if no document is stored, store_unavailable,
    /// store_answer_malformed for a damaged or invalid document.
    void load(callback<loaded_configuration> done);

    /// Waits until the head's revision exceeds `after`, then loads the newest
    /// document. Errors: those of `load`; not_found also if the head does not
    /// change within `wait`.
    void watch(std::uint64_t after, core::duration wait,
               callback<loaded_configuration> done);

    /// Loads a document from the history. Errors: not_found for a generation
    /// that is not in it, store_unavailable, store_answer_malformed.
    void load_generation(std::uint64_t generation,
                         callback<core::configuration> done);

    /// Stores a document as the generation that core::next_generation() gives
    /// if the stored generation is `based_on`, where 0 means that nothing is
    /// stored. A write after the store came back from an earlier state does not
    /// rely on reads from before. The document's
    /// change id must be unique: it shows after a lost answer whether the
    /// change took effect. Errors: those of the document check,
    /// document_too_large, store_answer_malformed, store_unavailable,
    /// system_failure if two parts have the same content hash. The message of
    /// an error of the store states whether the change may have taken effect.
    void apply(core::configuration document, std::uint64_t based_on,
               callback<apply_result> done);

    /// The heads in the history, newest first.
    void history(callback<std::vector<config::document_head>> done);

    /// Caches the parts of a document, for example of one received from a peer.
    /// The next `load` does not fetch them.
    void cache_parts(core::configuration const& document);

    configuration_store_counters const& counters() const noexcept;

    struct state;

private:
    explicit configuration_store(std::shared_ptr<state> store);
    std::shared_ptr<state> m_state;
};

} // namespace hawthornspur::platform

#endif
