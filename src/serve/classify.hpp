#ifndef HAWTHORNSPUR_SERVE_CLASSIFY_HPP
#define HAWTHORNSPUR_SERVE_CLASSIFY_HPP

#include "base/result.hpp"
#include "core/route_match.hpp"
#include "serve/call.hpp"

#include <memory>

namespace hawthornspur::serve
{

/// How classify_request() finds the service and kind.
lookup_method choose_lookup(core::configuration const& document,
                            accepted_request const& accepted);

/// Second filter: finds the service and kind of a request, checks its depth and
/// body size, and sets its zone and deadline. `own_zone` replaces a zone that
/// the configuration does not have. Errors: unknown_service, unknown_kind,
/// body_too_large, depth_limit_reached.
result<classified_request>
classify_request(accepted_request const& accepted,
                 std::shared_ptr<core::configuration const> configuration,
                 core::part_selector& selector, std::string const& own_zone,
                 core::time_point now);

/// Replaces the document by one of the same generation, which may have other
/// targets. Returns false if it lacks the service or the kind.
bool replace_document(classified_request& classified,
                      std::shared_ptr<core::configuration const> document);

} // namespace hawthornspur::serve

#endif
