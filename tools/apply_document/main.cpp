#include "common/json_fields.hpp"
#include "common/program.hpp"
#include "config/document.hpp"
#include "load_generator/sender.hpp"
#include "net/event_loop.hpp"
#include "net/http_client.hpp"
#include "platform/configuration_store.hpp"
#include "platform/http_platform.hpp"

#include <absl/flags/flag.h>
#include <absl/flags/parse.h>
#include <absl/flags/usage.h>
#include <nlohmann/json.hpp>

#include <iostream>

ABSL_FLAG(std::string, platform, "", "address:port of the platform");
ABSL_FLAG(std::string, document, "", "file with the configuration document");
ABSL_FLAG(std::uint64_t, based_on, 0,
          "generation that the change is based on; 0: none is stored");

namespace hawthornspur::tools
{

namespace
{

result<core::configuration> read_document()
{
    auto const text = read_file(absl::GetFlag(FLAGS_document));
    if (!has_value(text))
    {
        return failure(text);
    }
    auto parsed = config::parse_document(value(text));
    if (auto const* faults = std::get_if<config::problems>(&parsed))
    {
        return make_error(faults->front().m_code, config::describe(*faults));
    }
    return std::get<core::configuration>(std::move(parsed));
}

result<platform::apply_result> run()
{
    auto const servers = parse_endpoints(absl::GetFlag(FLAGS_platform));
    auto document = read_document();
    if (!has_value(servers))
    {
        return failure(servers);
    }
    if (value(servers).size() != 1)
    {
        return make_error(result_code::usage, "--platform is missing");
    }
    if (!has_value(document))
    {
        return failure(document);
    }
    auto loop = net::event_loop::create();
    if (!has_value(loop))
    {
        return failure(loop);
    }
    auto client = net::http_client::create(*value(loop));
    if (!has_value(client))
    {
        return failure(client);
    }
    auto const store = platform::configuration_store::create(
        platform::make_http_platform(*value(client),
                                     {.m_server = value(servers).front()}),
        {});
    result<platform::apply_result> answer =
        make_error(result_code::store_unavailable, "no answer");
    store->apply(take(std::move(document)), absl::GetFlag(FLAGS_based_on),
                 [&](result<platform::apply_result> got)
                 {
                     answer = std::move(got);
                     value(loop)->stop();
                 });
    value(loop)->run();
    return answer;
}

} // namespace

} // namespace hawthornspur::tools

int main(int argc, char** argv)
{
    using namespace hawthornspur;
    absl::SetProgramUsageMessage(
        "Stores a configuration document and prints the outcome as JSON.");
    absl::ParseCommandLine(argc, argv);
    auto const applied = tools::run();
    if (!has_value(applied))
    {
        return tools::report_failure(failure(applied));
    }
    bool const stored =
        value(applied).m_outcome == platform::apply_outcome::stored;
    std::cout << nlohmann::json{{"outcome", stored ? "stored" : "conflict"},
                                {"generation", value(applied).m_generation}}
                     .dump()
              << '\n';
    return 0;
}
