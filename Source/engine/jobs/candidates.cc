#include "engine/jobs/candidates.h"

#include <algorithm>
#include <array>
#include <cstddef>
#include <cstdint>
#include <numeric>

#include <xxhash.h>

#include "engine/workers/service_workers.h"

namespace burdockrock::engine {

namespace {

// Upper bound of the preference for another owner's worker.
constexpr double kMaxForeignPreference = 0.5;

double PreferenceFor(const Context& context,
                     ListedWorker& listed,
                     const std::string& owner) {
  if (owner == context.self()) {
    return 1;
  }
  if (!listed.foreign_preference) {
    const std::string& worker = listed.info.id;
    const XXH64_hash_t seed =
        XXH64(context.self().data(), context.self().size(), 0);
    const XXH64_hash_t hash = XXH64(worker.data(), worker.size(), seed);
    listed.foreign_preference =
        kMaxForeignPreference * static_cast<double>(hash >> 11U) / 0x1p53;
  }
  return *listed.foreign_preference;
}

// Estimates are wrong by a similar factor for all workers, so only differences
// between workers count. A worker without data counts as average.
double RelativeSlowness(const RoomView& view, double mean) {
  return view.slowness > 0 && mean > 0
             ? static_cast<double>(view.slowness) / mean
             : 1;
}

// The mean slowness of the service's workers; 0 if it is known of none.
double SlownessOf(const ServiceWorkers& service) {
  return service.rated == 0 ? 0
                            : static_cast<double>(service.slowness) /
                                  static_cast<double>(service.rated);
}

Candidate MakeCandidate(const Context& context,
                        ListedWorker& listed,
                        const RoomView& view,
                        double mean_slowness) {
  return {.worker = &listed.info,
          .free = view.free,
          .preemptible = view.yielding,
          .own_domain = listed.info.domain == context.state.options.self.domain,
          .preference = PreferenceFor(context, listed, view.owner),
          .slowness = RelativeSlowness(view, mean_slowness)};
}

// The distance between positions that are visited in turn, so that all are
// visited and the first `sample` are spread over them.
std::size_t StrideOver(std::size_t all, std::size_t sample) {
  std::size_t stride = std::max<std::size_t>(all / sample, 1);
  while (std::gcd(stride, all) != 1) {
    ++stride;
  }
  return stride;
}

// The workers of a class, and the position after them among all that are
// visited.
struct VisitedClass {
  std::size_t end = 0;
  const std::vector<RoomView*>* views = nullptr;
};

// Visits the workers of the classes from `first` up to `last`, exclusive.
void Visit(const Context& context,
           const ServiceWorkers& workers,
           std::size_t first,
           std::size_t last,
           const VisitOrder& order,
           const CandidateVisitor& visit) {
  std::size_t all = 0;
  std::array<VisitedClass, kRoomClasses> classes;
  auto classes_end = classes.begin();
  for (std::size_t it = first; it < last; ++it) {
    const auto& views = workers.by_room.at(it);
    all += views.size();
    if (!views.empty()) {
      *classes_end++ = {.end = all, .views = &views};
    }
  }
  if (all == 0) {
    return;
  }
  const double slowness = SlownessOf(workers);
  const std::size_t stride = StrideOver(all, order.sample);
  std::size_t position = order.start % all;
  for (std::size_t it = 0; it < all; ++it) {
    const auto of = std::upper_bound(
        classes.begin(), classes_end, position,
        [](std::size_t at, const VisitedClass& k) { return at < k.end; });
    const RoomView& view =
        *of->views->at(position + of->views->size() - of->end);
    if (!visit(MakeCandidate(context, *view.links.listed, view, slowness))) {
      return;
    }
    position = (position + stride) % all;
  }
}

}  // namespace

const RoomView* UsableView(State& state,
                           const std::string& id,
                           ListedWorker& listed) {
  UpdateOwners(state);
  if (listed.view == nullptr) {
    const auto it = state.view.find(id);
    listed.view = it == state.view.end() ? nullptr : &it->second;
  }
  const RoomView* view = listed.view;
  return view != nullptr && view->counted.service != nullptr ? view : nullptr;
}

std::vector<Candidate> CandidatesOf(const Context& context,
                                    const std::string& service) {
  std::vector<Candidate> candidates;
  const ServiceWorkers* workers = FindServiceWorkers(context.state, service);
  if (workers == nullptr) {
    return candidates;
  }
  const double slowness = SlownessOf(*workers);
  for (const auto& views : workers->by_room) {
    for (const RoomView* it : views) {
      candidates.push_back(
          MakeCandidate(context, *it->links.listed, *it, slowness));
    }
  }
  return candidates;
}

void VisitWithProcessors(const Context& context,
                         const std::string& service,
                         std::int64_t processors_milli,
                         const VisitOrder& order,
                         const CandidateVisitor& visit) {
  if (const auto* workers = FindServiceWorkers(context.state, service)) {
    Visit(context, *workers, RoomClassOf(processors_milli), kRoomClasses, order,
          visit);
  }
}

void VisitWithoutProcessors(const Context& context,
                            const std::string& service,
                            std::int64_t processors_milli,
                            const VisitOrder& order,
                            const CandidateVisitor& visit) {
  if (const auto* workers = FindServiceWorkers(context.state, service)) {
    Visit(context, *workers, 0, RoomClassOf(processors_milli), order, visit);
  }
}

std::optional<Candidate> CandidateAt(const Context& context,
                                     const std::string& worker) {
  const auto listed = context.state.workers.find(worker);
  if (listed == context.state.workers.end()) {
    return std::nullopt;
  }
  const RoomView* view = UsableView(context.state, worker, listed->second);
  if (view == nullptr) {
    return std::nullopt;
  }
  return MakeCandidate(context, listed->second, *view,
                       SlownessOf(*view->counted.service));
}

ServiceRoom RoomOfService(const Context& context, const std::string& service) {
  const ServiceWorkers* workers = FindServiceWorkers(context.state, service);
  return workers == nullptr ? ServiceRoom() : workers->room;
}

bool IsHalfFreeBeside(const Context& context,
                      const std::string& service,
                      std::int64_t processors_milli) {
  const ServiceRoom room = RoomOfService(context, service);
  return 2 * (room.free - processors_milli) > room.all;
}

}  // namespace burdockrock::engine
