from ternlane.cli import main

main()
