#ifndef HAWTHORNSPUR_CONFIGURATION_BUILDER_HPP
#define HAWTHORNSPUR_CONFIGURATION_BUILDER_HPP

#include <hawthornspur/result_code.hpp>

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <variant>
#include <vector>

/// Builds a configuration document in code and prints it. Mistakes that the
/// types can express are compile errors; print() reports the others as faults
/// with result codes. docs/configuration.md describes the printed document.
namespace hawthornspur
{

/// `remove` stands for DELETE, since `delete` is a keyword.
enum class http_method : std::uint8_t
{
    get,
    head,
    post,
    put,
    patch,
    remove,
    options,
};

/// Largest part of a pool's slots that a kind may hold, above 0 and at most 1.
/// A value out of range does not compile.
class slot_share
{
public:
    consteval explicit slot_share(double part)
        : m_part(part)
    {
        if (!(part > 0 && part <= 1))
        {
            // Not a constant expression, so the compiler reports an error.
            throw "a share is above 0 and at most 1";
        }
    }
    constexpr double part() const noexcept
    {
        return m_part;
    }

private:
    double m_part;
};

/// Rules that at-most-once and idempotent kinds have in common. A request
/// belongs to the first kind of its service whose method and path prefix match.
struct kind_rules
{
    std::string m_name;
    http_method m_method = http_method::get;
    std::string m_path_prefix;
    std::chrono::milliseconds m_deadline = std::chrono::seconds(2);
    /// From 0, the most urgent, to 9.
    int m_priority = 4;
    /// For kinds that run much longer than the others of the service.
    std::optional<slot_share> m_max_share = std::nullopt;
    /// HTTP statuses with which a target reports that it did not run a request.
    std::vector<int> m_not_run_statuses = {};
    /// Requests need no access key, also if the document has customers.
    bool m_is_public = false;
};

/// A kind whose requests must not run twice. It cannot be hedged, since a
/// hedged request is sent twice.
struct at_most_once_kind
{
    kind_rules m_rules;
};

/// A kind whose requests may run more than once without harm.
struct idempotent_kind
{
    kind_rules m_rules;
    bool m_hedge = false;
};

/// Name of a declared zone; only configuration_builder::add_zone() creates one.
class zone_name
{
public:
    std::string const& text() const noexcept
    {
        return m_text;
    }

private:
    friend class configuration_builder;
    explicit zone_name(std::string text);
    std::string m_text;
};

struct target_declaration
{
    std::string m_name;
    zone_name m_zone;
    std::string m_address;
    std::uint16_t m_port = 0;
    int m_slots = 1;
    int m_max_connections = 100;
    bool m_draining = false;
};

/// Limits the processing time that load probes may take at one target, over all
/// entry hosts.
struct probe_budget
{
    std::chrono::microseconds m_cost_per_second{0};
    std::chrono::microseconds m_probe_cost = std::chrono::milliseconds(6);
    std::chrono::microseconds m_connection_cost = std::chrono::milliseconds(1);
    std::string m_path = "/health";
};

/// A customer of the operators. Once a document has customers, requests of
/// kinds that are not public need an access key of one of them.
struct customer_declaration
{
    std::string m_name;
    /// Of 16 to 200 printable ASCII characters without spaces. Each key occurs
    /// once in the document; without keys no request of the customer is served.
    std::vector<std::string> m_access_keys;
    /// From 0, the most urgent, to 9. Precedes the priority of the kind.
    int m_priority = 4;
    /// Requests per second over all hosts together; 0 means no limit.
    double m_rate = 0;
    /// Requests that may exceed the rate at once.
    double m_burst = 0;
};

/// Handle to one service of a configuration_builder. Copies refer to the same
/// service. Valid as long as the builder.
class service_builder
{
public:
    service_builder& add(at_most_once_kind const& kind);
    service_builder& add(idempotent_kind const& kind);
    service_builder& add(target_declaration const& target);
    service_builder& set(probe_budget const& budget);
    /// `ratio` retries are earned by each success; at most `burst` accumulate.
    service_builder& set_retry_budget(double ratio, double burst);
    service_builder& set_max_body_bytes(std::size_t bytes);
    service_builder& set_max_answer_bytes(std::size_t bytes);
    service_builder& set_max_queue(std::size_t requests);
    /// A target that started less than `warm_up` ago is cold and takes at most
    /// `requests_per_second` from all hosts together.
    service_builder& set_cold_rate(double requests_per_second,
                                   std::chrono::milliseconds warm_up);

private:
    friend class configuration_builder;
    struct state;
    explicit service_builder(std::shared_ptr<state> s);
    std::shared_ptr<state> m_state;
};

/// One fault of a document.
struct configuration_fault
{
    result_code m_code;
    /// For example "services[2].kinds[0].deadline".
    std::string m_path;
    std::string m_message;
};

/// The text of the document, or all its faults.
using printed_configuration =
    std::variant<std::string, std::vector<configuration_fault>>;

class configuration_builder
{
public:
    configuration_builder();
    ~configuration_builder();
    configuration_builder(configuration_builder const&) = delete;
    configuration_builder& operator=(configuration_builder const&) = delete;

    /// Generation of the stored document that this one replaces; 0 if nothing
    /// is stored yet.
    configuration_builder& set_based_on(std::uint64_t generation);

    zone_name add_zone(std::string name, std::string region = "");
    /// Sets the network delay between two zones, the same in both directions.
    configuration_builder& set_one_way_delay(zone_name const& a,
                                             zone_name const& b,
                                             std::chrono::microseconds delay);
    /// Sets a cost that is added to the network delay when the choice is made
    /// whether to spill a request to this zone.
    configuration_builder& set_extra_cost(zone_name const& zone,
                                          std::chrono::microseconds cost);

    /// Sends nothing more to the targets of the zone. At least one zone must
    /// not be evacuated.
    configuration_builder& set_evacuated(zone_name const& zone);

    configuration_builder& add(customer_declaration const& customer);

    configuration_builder& set_max_entry_hosts(int hosts);
    configuration_builder& set_address_lifetime(std::chrono::seconds lifetime);
    configuration_builder& set_key_lifetime(std::chrono::seconds lifetime);
    configuration_builder& set_max_depth(int calls);

    service_builder add_service(std::string name);

    /// Validates the document and prints it in canonical form.
    printed_configuration print() const;

private:
    struct state;
    std::unique_ptr<state> m_state;
};

} // namespace hawthornspur

#endif
