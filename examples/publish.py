"""Check a folder of section files and publish it to another folder as a new version.

Run it from the root of the repository:

    python examples/publish.py examples/quillqa published

Then serve the folder with `trefoilpick standin --folder published`.
"""

import sys
import time
from pathlib import Path

from returns.result import Failure

from trefoilpick.checks import check_document
from trefoilpick.publishing import (
    VMS_FILE,
    Publication,
    build_manifest,
    read_publication,
    read_section_files,
    read_vms_file,
    write_publication,
    write_vms,
)


def publish_folder(sections: Path, folder: Path) -> int:
    """Publish the section files of a folder as a new version.

    Args:
        sections: Folder with section files and the list of VMs.
        folder: Folder that the stand-in source serves.

    Returns:
        The number of the accepted version; 0 if the document is invalid.
    """
    result = check_document(read_section_files([sections]))
    if isinstance(result, Failure):
        for fault in result.failure():
            print(fault)
        return 0
    previous = read_publication(folder)
    number = previous.manifest.number + 1 if previous else 1
    accepted_at_ms = time.time_ns() // 1_000_000
    manifest = build_manifest(result.unwrap(), number=number, accepted_at_ms=accepted_at_ms)
    write_vms(folder, read_vms_file(sections / VMS_FILE))
    write_publication(folder, Publication(manifest, result.unwrap()))
    return number


def main() -> None:
    """Publish the folder given on the command line."""
    if len(sys.argv) != 3:
        sys.exit("usage: python examples/publish.py SECTIONS FOLDER")
    number = publish_folder(Path(sys.argv[1]), Path(sys.argv[2]))
    if not number:
        sys.exit(1)
    print(f"accepted version {number}")


if __name__ == "__main__":
    main()
