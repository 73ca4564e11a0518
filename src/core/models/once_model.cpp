#include "core/models/once_model.hpp"

#include <algorithm>
#include <utility>

namespace hawthornspur::core::models
{

namespace
{

constexpr std::size_t max_keys = 12;
constexpr std::size_t max_kept_bytes = 1200;
constexpr std::size_t max_messages = 200;
constexpr std::size_t max_recent_requests = 60;

void report_violation(once_model& model, std::string text)
{
    if (model.m_violation.empty())
    {
        model.m_violation = std::move(text);
    }
}

void start_home(once_model& model, home_model& home)
{
    home.m_incarnation = model.m_next_incarnation++;
    home.m_paused_steps = 0;
    home.m_running.clear();
    once_table_settings settings;
    settings.m_home = home.m_name;
    settings.m_incarnation = home.m_incarnation;
    settings.m_max_keys = max_keys;
    settings.m_max_kept_answer_bytes = max_kept_bytes / 2;
    settings.m_max_kept_bytes = max_kept_bytes;
    home.m_table = make_once_table(settings, model.m_now);
}

// Checks a code that a caller gets: it must not mean "not run" if the request
// ran or may still run.
void check_code(once_model& model, std::size_t request, std::size_t variant,
                result_code code)
{
    ++model.m_refusals;
    if (info(code).m_execution != execution::not_run)
    {
        return;
    }
    auto const may_run = std::any_of(
        model.m_messages.begin(), model.m_messages.end(),
        [&](once_message const& message)
        {
            return message.m_kind == once_message_kind::forward_to_owner &&
                   message.m_request == request && message.m_variant == variant;
        });
    if (model.m_requests[request].m_runs[variant] != 0 || may_run)
    {
        report_violation(
            model, "code means not run, but the request ran or may run: " +
                       std::string(info(code).m_name));
    }
}

// Checks the copies that the table returned at the end of a request, and the
// code that they get.
void check_copies(once_model& model, running_request const& ended,
                  std::vector<request_id> const& copies, result_code code)
{
    if (std::set<request_id>(copies.begin(), copies.end()) != ended.m_copies ||
        copies.size() != ended.m_copies.size())
    {
        report_violation(model,
                         "the returned copies are not the ones that joined");
    }
    check_code(model, ended.m_request, ended.m_variant, code);
}

void receive_at_home(once_model& model, once_message const& message)
{
    auto& home = model.m_homes[message.m_home];
    auto const& request = model.m_requests[message.m_request];
    auto const decision =
        begin_request(*home.m_table, request.m_key, message.m_variant,
                      message.m_id, model.m_now);
    if (std::holds_alternative<once_run>(decision))
    {
        home.m_running[message.m_id] = {
            message.m_request, message.m_variant, 0, {}};
    }
    else if (auto const* join = std::get_if<once_join>(&decision))
    {
        ++model.m_joins;
        auto const first = home.m_running.find(join->m_first_request);
        if (first == home.m_running.end() ||
            first->second.m_request != message.m_request ||
            first->second.m_variant != message.m_variant)
        {
            report_violation(model, "a copy joined another request");
            return;
        }
        first->second.m_copies.insert(message.m_id);
    }
    else if (auto const* replay = std::get_if<once_replay>(&decision))
    {
        ++model.m_replays;
        if (replay->m_answer.m_status != static_cast<int>(message.m_request) ||
            request.m_runs[message.m_variant] != 1)
        {
            report_violation(model, "a copy got the answer of another request");
        }
    }
    else if (auto const* refuse = std::get_if<once_refuse>(&decision))
    {
        check_code(model, message.m_request, message.m_variant, refuse->m_code);
    }
}

// The owner sends the request to a target, which runs or refuses it. The
// result is a message to the home, which may be lost.
void receive_at_owner(once_model& model, once_message const& message,
                      std::uint32_t outcome)
{
    auto result = message;
    if (outcome % 3 == 0)
    {
        result.m_kind = once_message_kind::not_run;
    }
    else
    {
        auto& request = model.m_requests[message.m_request];
        ++request.m_runs[message.m_variant];
        ++model.m_runs;
        if (request.m_runs[0] + request.m_runs[1] > 1)
        {
            report_violation(model, "a key ran twice");
        }
        result.m_kind = outcome % 3 == 1 ? once_message_kind::answer
                                         : once_message_kind::unknown;
    }
    model.m_messages.push_back(result);
}

void forward_attempt(once_model& model, std::size_t home, request_id id,
                     running_request& request)
{
    ++request.m_attempt;
    model.m_messages.push_back({once_message_kind::forward_to_owner, home,
                                model.m_homes[home].m_incarnation,
                                request.m_request, request.m_variant, id,
                                request.m_attempt});
}

void end_request(once_model& model, home_model& home, request_id id,
                 once_message_kind result, result_code code)
{
    auto const ended = home.m_running.at(id);
    home.m_running.erase(id);
    auto const& key = model.m_requests[ended.m_request].m_key;
    if (result == once_message_kind::not_run)
    {
        check_copies(model, ended, release_key(*home.m_table, key), code);
        return;
    }
    std::optional<kept_answer> answer;
    if (result == once_message_kind::answer)
    {
        // The sizes are below and above the bound on kept answers.
        answer = kept_answer{static_cast<int>(ended.m_request),
                             {},
                             std::string(ended.m_request * 37 % 700, 'x')};
    }
    check_copies(model, ended,
                 finish_request(*home.m_table, key, std::move(answer), code,
                                model.m_now),
                 code);
}

void receive_result(once_model& model, once_message const& message,
                    std::uint32_t choice)
{
    auto& home = model.m_homes[message.m_home];
    auto const found = home.m_running.find(message.m_id);
    // Results for an earlier process, request or attempt are discarded.
    if (home.m_incarnation != message.m_incarnation ||
        found == home.m_running.end() ||
        found->second.m_attempt != message.m_attempt)
    {
        return;
    }
    if (message.m_kind == once_message_kind::not_run && choice % 2 == 0)
    {
        // The request did not run and is retried, for example at a new owner.
        forward_attempt(model, message.m_home, message.m_id, found->second);
        return;
    }
    auto const code = message.m_kind == once_message_kind::not_run
                          ? result_code::target_shed
                      : message.m_kind == once_message_kind::unknown
                          ? result_code::target_silent
                          : result_code::ok;
    end_request(model, home, message.m_id, message.m_kind, code);
}

void deliver(once_model& model, once_step const& step)
{
    if (model.m_messages.empty())
    {
        return;
    }
    auto const index = step.m_first_argument % model.m_messages.size();
    auto const message = model.m_messages[index];
    auto const is_for_home =
        message.m_kind != once_message_kind::forward_to_owner;
    if (is_for_home && model.m_homes[message.m_home].m_paused_steps > 0)
    {
        return;
    }
    model.m_messages.erase(model.m_messages.begin() +
                           static_cast<std::ptrdiff_t>(index));
    switch (message.m_kind)
    {
    case once_message_kind::copy_to_home:
        receive_at_home(model, message);
        return;
    case once_message_kind::forward_to_owner:
        receive_at_owner(model, message, step.m_second_argument);
        return;
    default:
        receive_result(model, message, step.m_second_argument);
        return;
    }
}

void send_copy(once_model& model, std::size_t request, std::uint32_t choice)
{
    if (model.m_messages.size() >= max_messages)
    {
        return;
    }
    auto const variant = choice % 8 == 0 ? 1U : 0U;
    model.m_messages.push_back({once_message_kind::copy_to_home,
                                model.m_requests[request].m_home, 0, request,
                                variant, request_id{model.m_next_id++}, 0});
}

void new_request(once_model& model, once_step const& step)
{
    auto const index = step.m_first_argument % model.m_homes.size();
    auto const& home = model.m_homes[index];
    auto epoch = current_epoch(*home.m_table, model.m_now);
    // A few sessions are of the next epoch (forged) or of the previous one.
    epoch += step.m_second_argument % 16 == 0 ? 1 : 0;
    epoch -= step.m_second_argument % 16 == 1 && epoch > 1 ? 1 : 0;
    model.m_requests.push_back({index,
                                {{home.m_name, home.m_incarnation, epoch, 1},
                                 model.m_requests.size()}});
    send_copy(model, model.m_requests.size() - 1, 1);
}

// Chooses a request at the home among the queued ones or the dispatched ones.
// Nothing if there is none or the home is paused.
std::optional<request_id> choose_request(home_model const& home,
                                         std::uint32_t choice, bool is_queued)
{
    std::vector<request_id> found;
    for (auto const& [id, request] : home.m_running)
    {
        if ((request.m_attempt == 0) == is_queued)
        {
            found.push_back(id);
        }
    }
    if (found.empty() || home.m_paused_steps > 0)
    {
        return std::nullopt;
    }
    return found[choice % found.size()];
}

void apply_at_home(once_model& model, once_step const& step)
{
    auto const index = step.m_first_argument % model.m_homes.size();
    auto& home = model.m_homes[index];
    auto const is_queued = step.m_kind != once_step_kind::lose_link;
    auto const id = choose_request(home, step.m_second_argument, is_queued);
    if (!id)
    {
        return;
    }
    auto& request = home.m_running.at(*id);
    auto const& key = model.m_requests[request.m_request].m_key;
    switch (step.m_kind)
    {
    case once_step_kind::forward:
        mark_dispatched(*home.m_table, key);
        forward_attempt(model, index, *id, request);
        return;
    case once_step_kind::cancel:
        end_request(model, home, *id, once_message_kind::not_run,
                    result_code::cancelled_before_dispatch);
        return;
    case once_step_kind::cancel_copy:
        if (!request.m_copies.empty())
        {
            auto const copy = *request.m_copies.begin();
            request.m_copies.erase(copy);
            remove_copy(*home.m_table, key, copy);
        }
        return;
    default:
        end_request(model, home, *id, once_message_kind::unknown,
                    result_code::peer_link_lost);
        return;
    }
}

void drop_or_duplicate_message(once_model& model, once_step const& step)
{
    if (model.m_messages.empty())
    {
        return;
    }
    auto const index = step.m_first_argument % model.m_messages.size();
    if (step.m_kind == once_step_kind::drop)
    {
        model.m_messages.erase(model.m_messages.begin() +
                               static_cast<std::ptrdiff_t>(index));
        return;
    }
    auto const message = model.m_messages[index];
    if (message.m_kind == once_message_kind::copy_to_home)
    {
        send_copy(model, message.m_request, message.m_variant == 1 ? 0 : 1);
    }
}

void check_bounds(once_model& model)
{
    for (auto const& home : model.m_homes)
    {
        if (size(*home.m_table) > max_keys ||
            kept_bytes(*home.m_table) > max_kept_bytes)
        {
            report_violation(model, "a table exceeds its bounds");
        }
        if (size(*home.m_table) < home.m_running.size())
        {
            report_violation(model, "the key of a running request is missing");
        }
    }
}

} // namespace

once_model make_once_model()
{
    once_model model;
    model.m_homes[0].m_name = "h0";
    model.m_homes[1].m_name = "h1";
    for (auto& home : model.m_homes)
    {
        start_home(model, home);
    }
    return model;
}

void apply(once_model& model, once_step const& step)
{
    auto& selected =
        model.m_homes[step.m_first_argument % model.m_homes.size()];
    for (auto& home : model.m_homes)
    {
        home.m_paused_steps -= home.m_paused_steps > 0 ? 1 : 0;
    }
    switch (step.m_kind)
    {
    case once_step_kind::advance_time:
        model.m_now += std::chrono::seconds(step.m_first_argument % 30);
        for (auto& home : model.m_homes)
        {
            if (home.m_paused_steps == 0)
            {
                remove_expired_keys(*home.m_table, model.m_now);
            }
        }
        break;
    case once_step_kind::new_request:
        new_request(model, step);
        break;
    case once_step_kind::send_copy:
        if (!model.m_requests.empty())
        {
            // Copies of recent requests only: older keys have mostly expired.
            auto const recent =
                std::min(model.m_requests.size(), max_recent_requests);
            send_copy(model,
                      model.m_requests.size() - 1 -
                          step.m_first_argument % recent,
                      step.m_second_argument);
        }
        break;
    case once_step_kind::deliver:
        deliver(model, step);
        break;
    case once_step_kind::drop:
    case once_step_kind::duplicate_copy:
        drop_or_duplicate_message(model, step);
        break;
    case once_step_kind::pause:
        selected.m_paused_steps = step.m_second_argument % 100;
        break;
    case once_step_kind::restart_home:
        if (step.m_second_argument % 4 == 0)
        {
            start_home(model, selected);
        }
        break;
    case once_step_kind::change_lifetime:
        set_key_lifetime(*selected.m_table,
                         std::chrono::seconds(20 + step.m_second_argument % 60),
                         model.m_now);
        break;
    default:
        apply_at_home(model, step);
        break;
    }
    check_bounds(model);
}

} // namespace hawthornspur::core::models
