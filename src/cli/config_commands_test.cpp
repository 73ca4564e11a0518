#include "base/text.hpp"
#include "cli/command.hpp"
#include "config/document.hpp"
#include "net/event_loop.hpp"
#include "net/http_client.hpp"
#include "net/http_server.hpp"

#include <doctest/doctest.h>
#include <nlohmann/json.hpp>

#include <atomic>
#include <cstdio>
#include <fstream>
#include <iostream>
#include <map>
#include <sstream>
#include <thread>

namespace hawthornspur::cli
{

namespace
{

using nlohmann::json;

/// Serves a store, a host list and the administration address of one host. Has
/// its own thread because a command blocks in its own event loop.
class platform_stub
{
public:
    platform_stub()
        : m_thread([this] { serve(); })
    {
        while (m_port == 0)
        {
            std::this_thread::yield();
        }
    }

    ~platform_stub()
    {
        auto loop = take(net::event_loop::create());
        auto client = take(net::http_client::create(*loop));
        net::exchange_handlers handlers;
        handlers.m_on_end = [&](auto)
        {
            loop->stop();
        };
        client->send({"127.0.0.1", m_port}, {"GET", "/stop", {}, {}}, {},
                     std::move(handlers));
        loop->run();
        m_thread.join();
    }
    platform_stub(platform_stub const&) = delete;
    platform_stub& operator=(platform_stub const&) = delete;

    std::string flag() const
    {
        return "--platform=127.0.0.1:" + std::to_string(m_port);
    }
    std::string hosts_flag() const
    {
        return "--hosts=127.0.0.1:" + std::to_string(m_port);
    }

    /// Generation reported by the host; 0 reports the stored one.
    std::atomic<std::uint64_t> m_host_generation{0};
    /// Closes the connection after the next write of the head.
    std::atomic<bool> m_drop_next_head_answer{false};

private:
    using answer = std::pair<int, std::string>;

    void serve()
    {
        auto loop = take(net::event_loop::create());
        auto server = take(net::http_server::create(
            *loop, {.m_address = "127.0.0.1"},
            [&](net::http_request const& request,
                std::shared_ptr<net::http_exchange> const& exchange)
            {
                if (request.m_uri == "/stop")
                {
                    exchange->reply({200, {}}, "");
                    loop->stop();
                    return;
                }
                auto const [status, body] = handle(request);
                if (status == 0)
                {
                    exchange->abort();
                    return;
                }
                exchange->reply({status, {}}, body);
            }));
        m_port = server->port();
        loop->run();
    }

    answer handle(net::http_request const& request)
    {
        if (request.m_uri == "/v1/hosts")
        {
            return {200, json{{"hosts",
                               {{{"name", "entry-1"},
                                 {"role", "entry"},
                                 {"zone", "a"},
                                 {"address", "127.0.0.1"},
                                 {"port", m_port.load()},
                                 {"state", "live"}}}}}
                             .dump()};
        }
        if (request.m_uri == "/status")
        {
            auto const stored = m_values["/v1/kv/hawthornspur/head"].first;
            auto const generation =
                m_host_generation != 0
                    ? m_host_generation.load()
                    : json::parse(stored)["generation"].get<std::uint64_t>();
            return {200, json{{"generation", generation}}.dump()};
        }
        auto const query_start = request.m_uri.find('?');
        auto const key = request.m_uri.substr(0, query_start);
        auto& [text, revision] = m_values[key];
        if (request.m_method == "GET")
        {
            return revision == 0 ? answer{404, ""}
                                 : answer{200, json{{"value", text},
                                                    {"revision", revision}}
                                                   .dump()};
        }
        auto const expected = parse_number<std::uint64_t>(request.m_uri.substr(
            query_start + std::string("?revision=").size()));
        if (expected != revision)
        {
            return {409, ""};
        }
        text = json::parse(request.m_body)["value"].get<std::string>();
        revision = ++m_revision;
        if (key.ends_with("/head") && m_drop_next_head_answer.exchange(false))
        {
            return {0, ""};
        }
        return {200, json{{"revision", revision}}.dump()};
    }

    std::map<std::string, std::pair<std::string, std::uint64_t>> m_values;
    std::uint64_t m_revision = 0;
    std::atomic<std::uint16_t> m_port{0};
    std::thread m_thread;
};

/// Redirects a stream to another one during its lifetime.
class stream_redirection
{
public:
    stream_redirection(std::ostream& stream, std::ostream& to)
        : m_stream(&stream)
        , m_original_buffer(stream.rdbuf(to.rdbuf()))
    {
    }
    ~stream_redirection()
    {
        m_stream->rdbuf(m_original_buffer);
    }
    stream_redirection(stream_redirection const&) = delete;
    stream_redirection& operator=(stream_redirection const&) = delete;

private:
    std::ostream* m_stream;
    std::streambuf* m_original_buffer;
};

/// The exit code and the output of a command.
struct run_result
{
    int m_exit_code = 0;
    std::string m_out;
    std::string m_errors;
};

run_result run(std::vector<std::string> arguments)
{
    std::vector<command> const table{
        make_config_check_command(),   make_config_diff_command(),
        make_config_apply_command(),   make_config_show_command(),
        make_config_history_command(), make_config_status_command()};
    std::ostringstream out;
    std::ostringstream errors;
    stream_redirection const redirected_out(std::cout, out);
    stream_redirection const redirected_errors(std::cerr, errors);
    auto const exit_code = dispatch(table, std::move(arguments));
    return {exit_code, out.str(), errors.str()};
}

/// Writes a document to a file and removes the file in the destructor.
class document_file
{
public:
    document_file(std::string name, std::uint64_t generation,
                  std::size_t max_queue, std::string const& zone = "a",
                  std::vector<core::customer_config> customers = {})
        : m_name(std::move(name))
    {
        core::configuration document;
        document.m_generation = generation;
        document.m_zones.push_back({"a", "", {}, {}});
        core::service_config service;
        service.m_name = "map";
        service.m_max_queue = max_queue;
        core::kind_config kind;
        kind.m_name = "page";
        kind.m_method = "GET";
        kind.m_path_prefix = "/";
        service.m_kinds.push_back(kind);
        service.m_targets.push_back({"map-1", zone, "127.0.0.1", 9001});
        document.m_services.push_back(service);
        if (!customers.empty())
        {
            document.m_customers =
                core::make_customer_table(std::move(customers));
        }
        std::ofstream(m_name) << config::print_document(document);
    }
    ~document_file()
    {
        static_cast<void>(std::remove(m_name.c_str()));
    }
    document_file(document_file const&) = delete;
    document_file& operator=(document_file const&) = delete;

    std::string m_name;
};

bool contains(std::string const& text, std::string_view part)
{
    return text.find(part) != std::string::npos;
}

} // namespace

// Guards against faults that are not printed and against wrong exit codes.
TEST_CASE("config check prints faults and config diff prints changes")
{
    document_file const good("check-good.json", 1, 10);
    document_file const other("check-other.json", 1, 20);
    document_file const bad("check-bad.json", 1, 10, "b");
    CHECK(run({"config", "check", good.m_name}).m_exit_code == 0);
    auto const refused = run({"config", "check", bad.m_name});
    CHECK(refused.m_exit_code == 2);
    CHECK(contains(refused.m_errors, "services[0].targets[0].zone"));
    CHECK(run({"config", "check", "no-such-file"}).m_exit_code == 7);
    CHECK(run({"config", "check", "."}).m_exit_code == 7);
    CHECK(run({"config", "check"}).m_exit_code == 1);
    auto const changed = run({"config", "diff", good.m_name, other.m_name});
    CHECK(changed.m_exit_code == 6);
    CHECK(changed.m_out == "~ services[map].max_queue: 10 -> 20\n");
    CHECK(run({"config", "diff", good.m_name, good.m_name}).m_exit_code == 0);
}

// Guards against an entry that hosts leave out without a word to operators, and
// against a value of it, which may be a key, in that word.
TEST_CASE("config check names the entries that hosts would leave out")
{
    auto const check = [](std::string const& rank)
    {
        std::string const name = "check-operators.json";
        std::ofstream(name)
            << R"({"version":7,"resources":[{"resource_kind":"tenants",)"
            << R"("metadata":{"name":"shop"},"spec":{)"
            << R"("priority":)" << rank << "}}]}";
        return run({"config", "check", "--operators", name});
    };
    CHECK(check("10").m_exit_code == 0);
    auto const faulty = check(R"("secret")");
    CHECK(faulty.m_exit_code == 2);
    CHECK(contains(faulty.m_out, "left out: tenants \"shop\": "));
    CHECK(contains(faulty.m_out, "1 entries left out"));
    CHECK(!contains(faulty.m_out, "secret"));
    CHECK(check("").m_exit_code == 2);
    static_cast<void>(std::remove("check-operators.json"));
}

// Guards against a change that is lost, stored twice or reported as in force
// where it is not, and against a conflict report without one of the changes.
// The store drops one answer to a write, which the command must resolve.
TEST_CASE("config apply stores a change and reports where it is in force")
{
    platform_stub platform;
    auto const flag = platform.flag();
    CHECK(run({"config", "show", flag}).m_exit_code == 8);
    document_file const first("apply-first.json", 0, 10);
    auto const stored = run(
        {"config", "apply", flag, "--wait=16s", "--based_on=0", first.m_name});
    CAPTURE(stored.m_errors);
    CHECK(stored.m_exit_code == 0);
    CHECK(contains(stored.m_out, "stored as generation 1"));
    CHECK(contains(stored.m_out, "in force on 1 of 1 hosts"));

    platform.m_drop_next_head_answer = true;
    document_file const second("apply-second.json", 1, 20);
    auto const resolved = run(
        {"config", "apply", flag, "--wait=16s", "--based_on=1", second.m_name});
    CAPTURE(resolved.m_errors);
    CHECK(resolved.m_exit_code == 0);
    CHECK(contains(resolved.m_out, "~ services[map].max_queue: 10 -> 20"));
    CHECK(contains(resolved.m_out, "stored as generation 2"));

    document_file const late("apply-late.json", 1, 30);
    auto const conflict = run(
        {"config", "apply", flag, "--wait=16s", "--based_on=1", late.m_name});
    CHECK(conflict.m_exit_code == 3);
    CHECK(contains(conflict.m_errors, "max_queue: 10 -> 20"));
    CHECK(contains(conflict.m_errors, "max_queue: 10 -> 30"));
    CHECK(contains(run({"config", "show", flag, "--generation=0"}).m_out,
                   "\"max_queue\": 20"));
    CHECK(contains(run({"config", "show", flag, "--generation=1"}).m_out,
                   "\"max_queue\": 10"));

    platform.m_host_generation = 2;
    document_file const third("apply-third.json", 2, 40);
    auto const timed_out =
        run({"config", "apply", flag, "--wait=1ms", "--based_on=2",
             platform.hosts_flag(), third.m_name});
    CHECK(timed_out.m_exit_code == 5);
    CHECK(contains(timed_out.m_out, "in force on 0 of 1 hosts"));
    CHECK(contains(timed_out.m_errors, "not in force: 127.0.0.1:"));
    CHECK(contains(timed_out.m_errors, ": generation 2"));
    auto const status = run({"config", "status", flag, platform.hosts_flag()});
    CHECK(status.m_exit_code == 5);
    CHECK(contains(status.m_out, "stored: generation 3"));
    auto const history = run({"config", "history", flag});
    CHECK(history.m_exit_code == 0);
    CHECK(contains(history.m_out, "generation 3, change "));
    CHECK(contains(history.m_out, "generation 1, change "));
}

// Guards against access keys in the output of a command, and against a store
// that gets digests instead of keys.
TEST_CASE("no command prints an access key")
{
    auto const plaza = [](std::string const& key)
    {
        return std::vector<core::customer_config>{{"plaza", {key}, 4, 0, 0}};
    };
    platform_stub platform;
    auto const flag = platform.flag();
    document_file const first("keys-first.json", 0, 10, "a",
                              plaza("secret-key-of-plaza-1"));
    document_file const second("keys-second.json", 1, 10, "a",
                               plaza("secret-key-of-plaza-2"));
    document_file const late("keys-late.json", 1, 10, "a",
                             plaza("secret-key-of-plaza-3"));
    document_file const faulty("keys-faulty.json", 1, 10, "a",
                               plaza("secret key of plaza"));
    std::string all;
    auto const run_all = [&](std::vector<std::string> const& arguments)
    {
        auto done = run(arguments);
        all += done.m_out + done.m_errors;
        return done;
    };
    auto const apply = [&](document_file const& file, std::string const& base)
    {
        return run_all({"config", "apply", flag, platform.hosts_flag(),
                        "--wait=16s", "--based_on=" + base, file.m_name});
    };
    CHECK(apply(first, "0").m_exit_code == 0);
    auto const stored = apply(second, "1");
    CHECK(stored.m_exit_code == 0);
    CHECK(contains(stored.m_out, "~ customers[plaza].access_keys: [\""));
    CHECK(apply(late, "1").m_exit_code == 3);
    CHECK(run_all({"config", "check", faulty.m_name}).m_exit_code == 2);
    CHECK(
        run_all({"config", "diff", first.m_name, second.m_name}).m_exit_code ==
        6);
    CHECK(run_all({"config", "diff", flag, late.m_name}).m_exit_code == 6);
    run_all({"config", "history", flag});
    run_all({"config", "status", flag, platform.hosts_flag()});
    for (auto const* generation : {"--generation=0", "--generation=1"})
    {
        auto const shown = run_all({"config", "show", flag, generation});
        CHECK(contains(shown.m_out, "\"access_keys\": ["));
    }
    CAPTURE(all);
    CHECK_FALSE(contains(all, "secret"));
    // The stored document has the key of the second file.
    CHECK(run({"config", "diff", flag, second.m_name}).m_exit_code == 0);
}

// Guards against commands that hang or report success when the platform cannot
// be reached.
TEST_CASE(
    "commands fail when the platform is unreachable or its address invalid")
{
    document_file const file("absent.json", 1, 10);
    std::string const unreachable_platform = "--platform=127.0.0.1:1";
    CHECK(run({"config", "show", unreachable_platform, "--generation=0"})
              .m_exit_code == 4);
    CHECK(run({"config", "diff", unreachable_platform, file.m_name})
              .m_exit_code == 4);
    CHECK(run({"config", "show", "--platform=nowhere"}).m_exit_code == 1);
}

} // namespace hawthornspur::cli
