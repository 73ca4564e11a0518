// Prints the example configuration of Ecos de Feria, a ticket office for fairs
// with two customers, a public start page, targets that start cold, and one
// zone that is evacuated.
#include "print_example.hpp"

namespace
{

using namespace hawthornspur;
using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr int slots = 4;
constexpr int max_connections = 200;

void declare_tickets(configuration_builder& builder,
                     std::vector<zone_name> const& zones)
{
    auto tickets = builder.add_service("tickets");
    tickets
        .add(idempotent_kind{{.m_name = "start-page",
                              .m_path_prefix = "/start/",
                              .m_deadline = milliseconds(800),
                              .m_is_public = true},
                             true})
        .add(at_most_once_kind{{.m_name = "buy",
                                .m_method = http_method::post,
                                .m_path_prefix = "/orders",
                                .m_priority = 1}})
        // A target needs three seconds to fill its caches.
        .set_cold_rate(4.7, seconds(3));
    examples::add_targets(tickets, "tickets", 4, 23'000, zones, slots,
                          max_connections);
}

} // namespace

int main()
{
    configuration_builder builder;
    std::vector<zone_name> const zones{builder.add_zone("rio", "plata"),
                                       builder.add_zone("delta", "plata")};
    builder.set_one_way_delay(zones[0], zones[1], milliseconds(2))
        .set_evacuated(zones[1])
        .set_max_entry_hosts(12);
    // The keys are examples: draw new ones, and read them from a file that only
    // the operators can read.
    builder
        .add(customer_declaration{.m_name = "plaza",
                                  .m_access_keys = {"example-plaza-7c1f02d9"},
                                  .m_priority = 2,
                                  .m_rate = 200,
                                  .m_burst = 50})
        .add(customer_declaration{.m_name = "escuelas",
                                  .m_access_keys = {"example-escuelas-old-41",
                                                    "example-escuelas-new-42"},
                                  .m_priority = 6});
    declare_tickets(builder, zones);
    return examples::print(builder);
}
