#ifndef HAWTHORNSPUR_SERVE_HOST_REGISTRATION_HPP
#define HAWTHORNSPUR_SERVE_HOST_REGISTRATION_HPP

namespace hawthornspur::serve
{

struct entry_host;

/// Takes the next step in keeping this host's entry in the store and in reading
/// those of the others, and sets the timer of the step after it. A host that
/// stops lets its lease lapse.
void advance_registration(entry_host& host);

} // namespace hawthornspur::serve

#endif
