// Prints the table of slopes.
#include "bench/capacity.h"

int main() {
  burdockrock::bench::BenchReport report;
  burdockrock::bench::MeasureState(report);
  burdockrock::bench::MeasureMessages(report);
  burdockrock::bench::MeasureTime(report);
  return report.ExitCode();
}
