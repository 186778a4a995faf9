"""Put the libraries and the packages that a node needs into one directory, compiled.

The libraries are those of deploy/requirements.txt. A second run with the same libraries and sources
changes nothing, so that nodes which start meanwhile find whole packages.
"""

from __future__ import annotations

import argparse
import compileall
import hashlib
import shutil
import subprocess
import sys
from pathlib import Path
from py_compile import PycInvalidationMode

ROOT = Path(__file__).resolve().parent.parent
REQUIREMENTS = ROOT / "deploy" / "requirements.txt"
SOURCES = (
    *(ROOT / "packages" / name / "src" for name in ("core", "wire", "store", "node")),
    ROOT / "platform",
)
# Level of python3 -OO in deploy/system.toml, which keeps docstrings out of memory.
OPTIMIZATION = 2
LIBRARIES_STAMP = ".requirements"
PACKAGES_STAMP = ".packages"


def _is_stamped(stamp: Path, digest: str) -> bool:
    return stamp.exists() and stamp.read_text() == digest


def install_libraries(target: Path) -> None:
    """Install the libraries, unless the same list is installed already.

    :param target: directory to install to.
    """
    digest = hashlib.sha256(REQUIREMENTS.read_bytes()).hexdigest()
    stamp = target / LIBRARIES_STAMP
    if _is_stamped(stamp, digest):
        return
    shutil.rmtree(target, ignore_errors=True)
    command = [sys.executable, "-m", "pip", "install", "--quiet", "--no-deps"]
    command += ["--target", str(target), "--requirement", str(REQUIREMENTS)]
    subprocess.run(command, check=True)
    stamp.write_text(digest)


def copy_packages(target: Path) -> bool:
    """Copy and compile the project's own packages, unless they are unchanged.

    :param target: directory to copy to.
    :returns: whether everything could be compiled.
    """
    packages = [
        package
        for source in SOURCES
        for package in sorted(source.glob("bamboonotch_*"))
        if (package / "__init__.py").exists()
    ]
    digest = hashlib.sha256()
    for path in sorted(path for package in packages for path in package.rglob("*.py")):
        digest.update(f"{path.relative_to(ROOT)}\n".encode() + path.read_bytes())
    stamp = target / PACKAGES_STAMP
    if _is_stamped(stamp, digest.hexdigest()):
        return True
    stamp.unlink(missing_ok=True)
    for package in packages:
        shutil.rmtree(target / package.name, ignore_errors=True)
        ignored = shutil.ignore_patterns("__pycache__")
        shutil.copytree(package, target / package.name, ignore=ignored)
    # Compiled files that depend on the times of their sources would be ignored in a copy of the
    # directory, and each start would compile everything again.
    compiled = compileall.compile_dir(
        target,
        quiet=2,
        workers=1,
        optimize=OPTIMIZATION,
        invalidation_mode=PycInvalidationMode.UNCHECKED_HASH,
    )
    if not compiled:
        return False
    stamp.write_text(digest.hexdigest())
    return True


def main() -> int:
    """Build the directory named on the command line."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("target", type=Path, help="directory to build")
    target: Path = parser.parse_args().target
    install_libraries(target)
    return 0 if copy_packages(target) else 1


if __name__ == "__main__":
    sys.exit(main())
