// A disk host: stores turns, budgets and quotas, and takes part in changes of the ledger set.
#pragma once

#include <boost/asio/io_context.hpp>
#include <memory>

#include "hawthornlane/disk/disk_settings.h"

namespace hawthornlane::disk {

/// Runs on the io_context of one thread; its log writes on a thread of its own.
class disk_host {
public:
  /// Reads the data folder and starts to listen. Throws `std::runtime_error` on failure.
  disk_host(boost::asio::io_context& context, disk_settings settings);
  disk_host(const disk_host&) = delete;
  disk_host& operator=(const disk_host&) = delete;
  ~disk_host();

  struct state;

private:
  std::shared_ptr<state> impl;
};

}  // namespace hawthornlane::disk
