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

/// Declares a configuration document in code and prints it. Wrong use is a
/// compile error where the types can tell, and a fault with a result code
/// otherwise. docs/configuration.md describes the printed document.
namespace hawthornspur
{

/// `remove` is DELETE, whose name is a keyword.
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

/// The largest part of a pool's slots that a kind may hold. A constant out of
/// range does not compile.
class slot_share
{
public:
    consteval explicit slot_share(double part)
        : m_part(part)
    {
        if (!(part > 0 && part <= 1))
        {
            // Not a constant expression, so the compiler stops here.
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

/// What is common to all kinds of requests. The first kind of a service whose
/// method and path prefix match a request applies.
struct kind_rules
{
    std::string m_name;
    http_method m_method = http_method::get;
    std::string m_path_prefix;
    std::chrono::milliseconds m_deadline = std::chrono::seconds(2);
    /// 0 is the most urgent, 9 the least.
    int m_priority = 4;
    /// Declared for kinds that run much longer than the others.
    std::optional<slot_share> m_max_share = std::nullopt;
    std::vector<int> m_not_run_statuses = {};
};

/// A kind that must not run twice. It has no hedging, since a hedged request
/// is sent twice.
struct at_most_once_kind
{
    kind_rules m_rules;
};

/// A kind that may run more than once without harm.
struct idempotent_kind
{
    kind_rules m_rules;
    bool m_hedge = false;
};

/// Names a zone that was declared before; only add_zone makes one.
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

/// The cost that measuring load may cause at one target, over all hosts.
struct probe_budget
{
    std::chrono::microseconds m_cost_per_second{0};
    std::chrono::microseconds m_probe_cost = std::chrono::milliseconds(6);
    std::chrono::microseconds m_connection_cost = std::chrono::milliseconds(1);
    std::string m_path = "/health";
};

/// One service of a builder. It is a handle and stays valid as long as the
/// builder.
class service_builder
{
public:
    service_builder& add(at_most_once_kind const& kind);
    service_builder& add(idempotent_kind const& kind);
    service_builder& add(target_declaration const& target);
    service_builder& set(probe_budget const& budget);
    /// Retries earned by each success, and the largest number saved up.
    service_builder& set_retry_budget(double ratio, double burst);
    service_builder& set_max_body_bytes(std::size_t bytes);
    service_builder& set_max_answer_bytes(std::size_t bytes);
    service_builder& set_max_queue(std::size_t requests);

private:
    friend class configuration_builder;
    struct state;
    explicit service_builder(std::shared_ptr<state> s);
    std::shared_ptr<state> m_state;
};

/// One fault of a declared document.
struct configuration_fault
{
    result_code m_code;
    /// For example "services[2].kinds[0].deadline".
    std::string m_path;
    std::string m_message;
};

/// The document's text, or all its faults.
using printed_configuration =
    std::variant<std::string, std::vector<configuration_fault>>;

class configuration_builder
{
public:
    configuration_builder();
    ~configuration_builder();
    configuration_builder(configuration_builder const&) = delete;
    configuration_builder& operator=(configuration_builder const&) = delete;

    /// The stored generation that the document is meant to replace; 0 when
    /// nothing is stored yet.
    configuration_builder& set_based_on(std::uint64_t generation);

    zone_name add_zone(std::string name, std::string region = "");
    /// The same delay in both directions.
    configuration_builder& set_one_way_delay(zone_name const& a,
                                             zone_name const& b,
                                             std::chrono::microseconds delay);
    /// Added to the delay when calls are sent to other zones.
    configuration_builder& set_extra_cost(zone_name const& zone,
                                          std::chrono::microseconds cost);

    configuration_builder& set_max_entry_hosts(int hosts);
    configuration_builder& set_address_lifetime(std::chrono::seconds lifetime);
    configuration_builder& set_key_lifetime(std::chrono::seconds lifetime);
    configuration_builder& set_max_depth(int calls);

    service_builder add_service(std::string name);

    /// Checks the document and prints it in canonical form.
    printed_configuration print() const;

private:
    struct state;
    std::unique_ptr<state> m_state;
};

} // namespace hawthornspur

#endif
