#ifndef HAWTHORNSPUR_SERVE_CONFIGURATION_PROOFS_HPP
#define HAWTHORNSPUR_SERVE_CONFIGURATION_PROOFS_HPP

namespace hawthornspur::serve
{

struct entry_host;

/// Whether the configuration in force was recently confirmed to be the newest
/// one, so that no access key in it has been withdrawn for longer than the
/// deployment allows. Always true if the deployment does not enforce this.
bool is_configuration_proved(entry_host& host);

} // namespace hawthornspur::serve

#endif
