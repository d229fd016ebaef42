from control_sim.command import main

raise SystemExit(main())
