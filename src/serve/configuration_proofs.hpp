#ifndef HAWTHORNSPUR_SERVE_CONFIGURATION_PROOFS_HPP
#define HAWTHORNSPUR_SERVE_CONFIGURATION_PROOFS_HPP

#include "base/result.hpp"
#include "core/configuration_proof.hpp"
#include "core/time.hpp"
#include "net/event_loop.hpp"
#include "net/peer_messages.hpp"

#include <memory>
#include <optional>
#include <string>

namespace hawthornspur::serve
{

struct active_call;
struct entry_host;

/// Retry delay of a request whose key cannot be checked because of what stands
/// in the store. Operators have to write another document first. Callers share
/// the delay, since all hosts read the same document.
inline constexpr std::chrono::seconds unreadable_document_retry_delay{1};

/// State for the confirmations that the configuration in force is recent. Lives
/// as long as the host and is not stored: a new process starts without a proof.
struct configuration_proofs
{
    core::configuration_proof m_proof;
    core::proof_schedule m_schedule;
    /// Runs out while calls wait for a proof.
    std::unique_ptr<net::timer> m_timer;
    bool m_is_timer_started = false;
    /// This host confirmed for its zone at the last check, with a fresh proof.
    bool m_has_confirmed_for_zone = false;
    /// The loss of the proof was logged, and it has not been regained.
    bool m_is_lost = false;
};

/// To be called before the host opens connections to others. Errors:
/// system_failure.
status start_configuration_proofs(entry_host& host);

/// Whether the configuration in force was recently confirmed to be the newest
/// one, so that no access key in it has been withdrawn for longer than the
/// deployment allows. Always true if the deployment does not enforce this.
bool is_configuration_proved(entry_host& host);

/// Asks for a confirmation if one is due. To be called at regular intervals.
void maintain_configuration_proof(entry_host& host);

/// Records that the store has answered a question sent at `asked`. The answer
/// must have been applied.
void confirm_configuration(entry_host& host, core::time_point asked);

/// Refuses a call whose access key cannot be checked, which invalidates the
/// reference.
void refuse_unconfirmed_call(entry_host& host, active_call& call);

/// Age of the newest confirmation; nothing if there is none or the deployment
/// does not ask for it.
std::optional<core::duration> configuration_proof_age(entry_host const& host);

void on_configuration_proof_request(
    entry_host& host, std::string const& from,
    net::configuration_proof_request const& message);
void on_configuration_proof(entry_host& host, std::string const& from,
                            net::configuration_proof_message const& message);

} // namespace hawthornspur::serve

#endif
