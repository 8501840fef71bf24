// Names that callers choose, kept apart by account.
#pragma once

#include <string>
#include <string_view>

#include "hawthornlane/units/ids.h"

namespace hawthornlane {

/// What an account's name for a program, a line or a turn is called between hosts and on disks:
/// two accounts that choose the same name never meet. The length goes first, so that no account's
/// name and id together read like another's. An empty account: callers without a key, beside
/// others that have one.
inline std::string within_account(const client_account& account, std::string_view id) {
  std::string name = std::to_string(account.get().size());
  name += ':';
  name += account.get();
  name += '/';
  name += id;
  return name;
}

}  // namespace hawthornlane
