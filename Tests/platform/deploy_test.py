"""The deploy file builds with what Utilities/install installs, and no more."""
import pathlib
import re
import sys

root = pathlib.Path(sys.argv[1])
deploy = (root / "deploy/system.toml").read_text()
packages = set(re.findall(r'"([^"]+)"', re.search(
    r"^packages = \[(.*)\]$", deploy, re.M).group(1)))
install = (root / "Utilities/install").read_text()
listed = re.search(r"^packages=\((.*?)^\)", install, re.M | re.S).group(1)
build = listed.split("# The formatter")[0] + listed.split(
    "# The libraries.")[1].split("# The tests'")[0]
wanted = {word for line in build.splitlines() if "#" not in line
          for word in line.split()}
# The compiler's cache only saves a developer's time.
wanted.discard("ccache")
if packages != wanted:
    print("deploy/system.toml and Utilities/install differ in",
          sorted(packages ^ wanted))
    sys.exit(1)
print("1 passed, 0 failed")
