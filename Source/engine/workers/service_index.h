// What is kept of the workers of each service that accept tasks. Its pointers
// lead into one State: a copy of that can't be used for placement.
#ifndef BURDOCKROCK_ENGINE_WORKERS_SERVICE_INDEX_H_
#define BURDOCKROCK_ENGINE_WORKERS_SERVICE_INDEX_H_

#include <array>
#include <compare>
#include <cstddef>
#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace burdockrock::engine {

struct ListedWorker;
struct RoomView;

// Workers that the members assign to this instance, as of these versions.
struct AssignedWorkers {
  std::uint64_t members_version = 0;
  std::uint64_t workers_version = 0;  // State::workers_version
  std::vector<std::string> workers{};
};

// Processors, in thousandths, of a service's workers that accept tasks.
struct ServiceRoom {
  std::int64_t free = 0;
  std::int64_t all = 0;
};

// Number of classes of workers by their free processors.
inline constexpr std::size_t kRoomClasses = 64;

// The workers of a service that accept tasks.
struct ServiceWorkers {
  ServiceRoom room{};
  // Sum of RoomView::slowness, and of how many workers it is known.
  std::int64_t slowness = 0;
  std::int64_t rated = 0;
  // By their free processors, from none to kRoomClasses - 1 or more.
  std::array<std::vector<RoomView*>, kRoomClasses> by_room{};
};

// Whether the owner of a worker takes offers.
struct OwnerStatus {
  bool is_member = false;
  bool unresponsive = false;
  auto operator<=>(const OwnerStatus&) const = default;
};

// By service.
struct ServiceIndex {
  std::map<std::string, ServiceWorkers> services{};
  // By incarnation, as of these versions of the members and of which of them
  // are unresponsive.
  std::map<std::string, OwnerStatus> owners{};
  std::uint64_t members_version = 0;
  std::uint64_t unresponsive_version = 0;
};

// What a view is counted by; null if it does not exist.
struct ViewLinks {
  ListedWorker* listed = nullptr;
  ServiceWorkers* service = nullptr;  // of the listed worker
  const OwnerStatus* owner = nullptr;
};

// How the worker is counted in its service.
struct CountedWorker {
  ServiceWorkers* service = nullptr;  // null: it accepts no tasks
  std::int64_t free_milli = 0;
  std::int64_t all_milli = 0;
  std::uint32_t slowness = 0;
  std::size_t position = 0;  // in ServiceWorkers::by_room
};

}  // namespace burdockrock::engine

#endif  // BURDOCKROCK_ENGINE_WORKERS_SERVICE_INDEX_H_
