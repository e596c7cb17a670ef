// The sizes of the known workers, to judge what could never run.
#ifndef BURDOCKROCK_PLACEMENT_CAPACITY_CATALOG_H_
#define BURDOCKROCK_PLACEMENT_CAPACITY_CATALOG_H_

#include <cstdint>
#include <map>
#include <string>

#include "model/resources.h"

namespace burdockrock {

// Counts workers by size. A fleet has few sizes, so questions look at each.
class CapacityCatalog {
 public:
  void Add(const Resources& capacity);
  void Remove(const Resources& capacity);

  // True when some size has room for `need`.
  bool FitsSome(const Resources& need) const;

  // Why `need` fits no size, by dimension; empty when it fits one.
  std::string DescribeMisfit(const Resources& need) const;

 private:
  std::map<Resources, std::uint32_t> counts_;
};

}  // namespace burdockrock

#endif  // BURDOCKROCK_PLACEMENT_CAPACITY_CATALOG_H_
