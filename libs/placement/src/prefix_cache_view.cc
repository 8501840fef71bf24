// Estimates the contents of the prefix caches of a service's servers.
#include "hawthornlane/placement/prefix_cache_view.h"

#include <algorithm>

namespace hawthornlane {
namespace {

/// Upper bound of the parts that one host tracks; at about 200 bytes each this is 2 MB. A host of
/// the largest deployment has about 1,700 programs in progress.
constexpr std::size_t max_parts = 8192;
/// Upper bound of the servers that are recorded for one part. A part on more servers is shared by
/// so many programs that nearly all servers have it.
constexpr std::size_t max_holders = 64;
/// Token counts are capped here: no part is longer, and callers may send any number.
constexpr std::int64_t max_part_tokens = 100'000'000;

std::int64_t clamp_tokens(token_count tokens) {
  return std::clamp<std::int64_t>(tokens.get(), 0, max_part_tokens);
}

}  // namespace

std::optional<token_count> prefix_cache_view::cached_part(const prompt_piece& piece,
                                                          const backend_server_id& server) const {
  const auto found = this->parts.find(piece.key);
  if (found == this->parts.end()) {
    return std::nullopt;
  }
  const auto& holders = found->second.holders;
  const auto at = std::find_if(holders.begin(), holders.end(),
                               [&](const holder& item) { return item.server == server; });
  if (at == holders.end()) {
    return std::nullopt;
  }
  return std::min(at->tokens, piece.tokens);
}

token_count prefix_cache_view::cached(const std::vector<prompt_piece>& prompt,
                                      const backend_server_id& server) const {
  std::int64_t before = 0;
  std::int64_t cached = 0;
  for (const prompt_piece& piece : prompt) {
    if (const auto tokens = this->cached_part(piece, server)) {
      cached = before + clamp_tokens(*tokens);
    }
    before += clamp_tokens(piece.tokens);
  }
  return token_count(cached);
}

token_count prefix_cache_view::uncached(const std::vector<prompt_piece>& prompt,
                                        const backend_server_id& server) const {
  std::int64_t all = 0;
  for (const prompt_piece& piece : prompt) {
    all += clamp_tokens(piece.tokens);
  }
  return token_count(all - this->cached(prompt, server).get());
}

std::vector<backend_server_id> prefix_cache_view::servers_with_session(
    const std::vector<prompt_piece>& prompt) const {
  std::vector<backend_server_id> servers;
  for (std::size_t number = 1; number < prompt.size(); ++number) {
    const auto found = this->parts.find(prompt[number].key);
    if (found == this->parts.end() || prompt[number].tokens.get() <= 0) {
      continue;
    }
    for (const holder& item : found->second.holders) {
      const bool is_known = std::find(servers.begin(), servers.end(), item.server) != servers.end();
      if (item.tokens.get() > 0 && !is_known) {
        servers.push_back(item.server);
      }
    }
  }
  return servers;
}

void prefix_cache_view::add_prompt(const std::vector<prompt_piece>& prompt,
                                   const backend_server_id& server) {
  for (const prompt_piece& piece : prompt) {
    this->add_part(piece, server);
  }
}

void prefix_cache_view::add_part(const prompt_piece& piece, const backend_server_id& server) {
  const auto [found, is_new] = this->parts.try_emplace(piece.key);
  part_state& part = found->second;
  if (is_new) {
    this->recency.push_front(piece.key);
    part.recency_position = this->recency.begin();
  } else {
    this->recency.splice(this->recency.begin(), this->recency, part.recency_position);
  }
  const auto at = std::find_if(part.holders.begin(), part.holders.end(),
                               [&](const holder& item) { return item.server == server; });
  if (at != part.holders.end()) {
    at->tokens = std::max(at->tokens, piece.tokens);
    return;
  }
  if (part.holders.size() >= max_holders) {
    part.holders.erase(part.holders.begin());
  }
  part.holders.push_back({server, piece.tokens});
  if (this->parts.size() > max_parts) {
    this->parts.erase(this->recency.back());
    this->recency.pop_back();
  }
}

void prefix_cache_view::drop_server(const backend_server_id& server) {
  for (auto& [key, part] : this->parts) {
    std::erase_if(part.holders, [&](const holder& item) { return item.server == server; });
  }
}

}  // namespace hawthornlane
