// The fingerprint of a call.
#include "hawthornlane/front/call_fingerprint.h"

#include <xxhash.h>

#include <memory>
#include <string_view>

namespace hawthornlane::front {
namespace {

/// A running hash of fields. The size precedes each field's text, so that two lists of fields with
/// the same concatenation differ.
class field_hash {
public:
  field_hash() : state(XXH3_createState(), &XXH3_freeState) {
    XXH3_128bits_reset(this->state.get());
  }
  void add(std::string_view text) {
    const std::uint64_t size = text.size();
    XXH3_128bits_update(this->state.get(), &size, sizeof(size));
    XXH3_128bits_update(this->state.get(), text.data(), text.size());
  }
  void add(token_count tokens) { this->add(std::to_string(tokens.get())); }
  [[nodiscard]] XXH128_hash_t result() const { return XXH3_128bits_digest(this->state.get()); }

private:
  std::unique_ptr<XXH3_state_t, decltype(&XXH3_freeState)> state;
};

bool is_distinct(const http::request& request, const relay::call_terms& terms) {
  return !request.body.empty() || terms.program || !terms.session.get().empty() || terms.previous ||
         !terms.affinity.empty() || !terms.prefix.empty();
}

}  // namespace

std::optional<request_fingerprint> fingerprint_of(const http::request& request,
                                                  const relay::call_terms& terms,
                                                  const client_account& account) {
  if (!is_distinct(request, terms)) {
    return std::nullopt;
  }
  field_hash hash;
  hash.add(request.method);
  hash.add(terms.host_name);
  hash.add(request.target);
  hash.add(request.body);
  hash.add(terms.program ? terms.program->get() : "");
  hash.add(terms.session.get());
  hash.add(terms.previous ? terms.previous->get() : "");
  hash.add(terms.affinity);
  hash.add(terms.model);
  hash.add(terms.prompt);
  hash.add(terms.max_output);
  for (const relay::prompt_part& part : terms.prefix) {
    hash.add(part.id);
  }
  const XXH128_hash_t content = hash.result();
  const std::string& name = account.get();
  return request_fingerprint{XXH3_64bits(name.data(), name.size()), content.high64, content.low64};
}

}  // namespace hawthornlane::front
