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
    std::size_t m_kept_heads = 20;
    /// How often a step is tried before its fault is reported. The pauses
    /// between attempts are those of the call limiter.
    int m_attempts = 6;
    /// Retired parts that one `apply` prunes at most, which bounds its calls.
    std::size_t m_pruned_at_once = 10;
};

struct loaded_configuration
{
    core::configuration m_document;
    /// Revision of the head, to watch for the next one.
    std::uint64_t m_head_revision = 0;
};

enum class apply_outcome : std::uint8_t
{
    stored,
    /// Someone else changed the configuration since `based_on`.
    conflict,
};

struct apply_result
{
    apply_outcome m_outcome = apply_outcome::stored;
    /// After success the new generation, after a conflict the one stored.
    std::uint64_t m_generation = 0;
    /// After a conflict: the stored document, unless it cannot be read.
    std::optional<core::configuration> m_stored;
    /// False when the history could not be written; the next change adds the
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

/// The configuration document in the platform's store: a head that is changed
/// by compare-and-swap, and immutable parts under their content hash. Any
/// number of processes may use the same store at the same time.
class configuration_store
{
public:
    static std::unique_ptr<configuration_store>
    create(platform_calls calls, configuration_store_settings settings);
    ~configuration_store();
    configuration_store(configuration_store const&) = delete;
    configuration_store& operator=(configuration_store const&) = delete;

    /// Loads the newest document: its head and the parts that are not known
    /// yet. Errors: not_found when no document is stored, store_unavailable,
    /// store_answer_malformed for a document that is damaged or fails the
    /// check.
    void load(callback<loaded_configuration> done);

    /// Waits until the head's revision is above `after`, then loads it.
    /// Answers not_found when it did not change within `wait`.
    void watch(std::uint64_t after, core::duration wait,
               callback<loaded_configuration> done);

    /// Loads a kept document by its generation.
    void load_generation(std::uint64_t generation,
                         callback<core::configuration> done);

    /// Stores a document as generation `based_on` + 1, if `based_on` is the
    /// stored one; 0 means that none is stored. The document's change id must
    /// be new: after a lost answer it tells whether the change took effect.
    /// Errors: those of the check, document_too_large, store_unavailable (its
    /// message says whether the change may have taken effect),
    /// store_answer_malformed.
    void apply(core::configuration document, std::uint64_t based_on,
               callback<apply_result> done);

    /// The kept heads, newest first.
    void history(callback<std::vector<config::document_head>> done);

    /// Makes the parts of a document known, for example of one that a peer
    /// sent, so that `load` does not fetch them.
    void cache_parts(core::configuration const& document);

    configuration_store_counters const& counters() const noexcept;

    struct state;

private:
    explicit configuration_store(std::shared_ptr<state> s);
    std::shared_ptr<state> m_state;
};

} // namespace hawthornspur::platform

#endif
