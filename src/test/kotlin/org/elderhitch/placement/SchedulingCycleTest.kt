package org.elderhitch.placement

import org.elderhitch.fleet.MachineId
import org.elderhitch.jobs.Image
import org.elderhitch.jobs.JobId
import org.elderhitch.jobs.JobKind
import org.elderhitch.jobs.JobSpec
import org.elderhitch.jobs.MachineType
import org.elderhitch.jobs.Priority
import org.elderhitch.jobs.Resources
import org.elderhitch.jobs.TaskId
import org.elderhitch.quota.QuotaLedger
import org.elderhitch.settings.Team
import org.elderhitch.settings.TeamName
import org.elderhitch.settings.Zone
import org.elderhitch.store.Revision
import org.elderhitch.time.MonotonicInstant
import kotlin.random.Random
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertTrue
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds

class SchedulingCycleTest {
    private val full = Resources(48.0, 8.0, 384.0)
    private val team = TeamName("team")

    private fun spec(
        id: Int,
        kind: JobKind = JobKind.ARRAY,
        tasks: Int = 1,
        priority: Priority = Priority.NORMAL,
        need: Resources = Resources(4.0, 1.0, 30.0),
        spread: Boolean = false,
        oneZone: Boolean = false,
        spot: Boolean = true,
        zone: Zone? = null,
        types: Set<MachineType>? = null,
        image: String = "img",
        imageGb: Double = 1.0,
    ) = JobSpec(
        JobId(
            "req-$id",
        ),
        "class", team, kind, priority, tasks, need, types, zone, oneZone, spread, spot, Image(image), imageGb,
        10.seconds, Duration.ZERO, Duration.ZERO, null,
    )

    private fun machine(
        id: String,
        zone: String = "a",
        spot: Boolean = false,
        free: Resources = full,
        type: String = "g8",
        images: Set<Image> = emptySet(),
        preemptible: List<PreemptionCandidate> = emptyList(),
        serviceWeight: Double = 0.0,
        releasing: Resources = Resources.NONE,
        fetching: Map<Image, Double> = emptyMap(),
        fetchGbPerS: Double = 1.0,
    ) = MachineView(
        MachineId(id),
        MachineType(type),
        Zone(zone),
        spot,
        full,
        MachineImages(images, fetchGbPerS, fetching),
        MachineLoad(free, releasing, preemptible, serviceWeight, empty = free == full),
    )

    private fun quota(mostGpus: Double? = null, reserved: Resources = Resources.NONE) =
        QuotaLedger(mapOf(team to Team(team, 0.0, 0.0, null, mostGpus)), reserved)

    private fun job(
        spec: JobSpec,
        order: Long = 1,
        zones: Map<Zone, Int> = emptyMap(),
        due: MonotonicInstant = MonotonicInstant.FOREVER,
        probe: Boolean = false,
    ) = JobView(spec, Revision(order), (0 until spec.tasks).toList(), zones, null, due, probe)

    private fun decide(machines: List<MachineView>, jobs: List<JobView>, quota: QuotaLedger = quota()) =
        SchedulingCycle(CycleInput(machines, jobs, quota)).decide()

    @Test
    fun `no scheduling cycle breaks a limit, a place or a machine, whatever it is given`() {
        val random = Random(6)
        repeat(400) { cycle ->
            val zones = listOf("a", "b", "c")
            val machines = List(random.nextInt(1, 12)) {
                machine(
                    "m$it",
                    zones.random(random),
                    random.nextBoolean(),
                    full * 1 - Resources(4.0, 1.0, 30.0) * random.nextInt(8),
                    listOf("g8", "g4").random(random),
                )
            }
            val jobs = List(random.nextInt(1, 12)) { n ->
                val kind = JobKind.entries.random(random)
                job(
                    spec(
                        n, kind, random.nextInt(1, 9), Priority.entries.random(random),
                        Resources(
                            random.nextInt(1, 20).toDouble(),
                            random.nextInt(0, 4).toDouble(),
                            random.nextInt(1, 100).toDouble(),
                        ),
                        spread = kind != JobKind.GANG && random.nextBoolean(),
                        oneZone =
                        kind == JobKind.GANG && random.nextBoolean(),
                        spot = random.nextBoolean(),
                        zone = if (random.nextInt(4) ==
                            0
                        ) {
                            Zone(zones.random(random))
                        } else {
                            null
                        },
                        types = if (random.nextInt(3) == 0) setOf(MachineType("g8")) else null,
                    ),
                    order = n.toLong() + 1,
                )
            }
            val limit = random.nextInt(4, 40).toDouble()
            val output = decide(machines, jobs, quota(limit))
            assertKept("scheduling cycle $cycle", machines, jobs, output, limit)
        }
    }

    private fun assertKept(
        what: String,
        machines: List<MachineView>,
        jobs: List<JobView>,
        output: CycleOutput,
        limit: Double,
    ) {
        val specs = jobs.associate { it.spec.id to it.spec }
        val byMachine = machines.associateBy { it.id }
        assertEquals(output.placed.size, output.placed.map { it.task }.toSet().size, "$what: a task placed twice")
        assertTrue(
            output.placed.sumOf {
                specs.getValue(it.task.job).resources.gpus
            } <= limit + 1e-6,
            "$what: over the limit",
        )
        for ((id, placed) in output.placed.groupBy { it.machine }) {
            val taken = placed.fold(Resources.NONE) { sum, p -> sum + specs.getValue(p.task.job).resources }
            assertTrue(taken.fitsIn(byMachine.getValue(id).load.free), "$what: $id overfull")
        }
        for ((id, placed) in output.placed.groupBy { it.task.job }) {
            val spec = specs.getValue(id)
            val where = placed.map { byMachine.getValue(it.machine) }
            assertTrue(where.all { spec.spotAllowed || !it.spot }, "$what: spot")
            assertTrue(where.all { spec.zone == null || it.zone == spec.zone }, "$what: zone")
            assertTrue(where.all { spec.types == null || it.type in spec.types }, "$what: type")
            if (spec.oneZone) assertEquals(1, where.map { it.zone }.toSet().size, "$what: one zone")
            assertTrue(where.groupBy { it.zone }.values.all { it.size <= spec.maxTasksPerZone }, "$what: spread")
            if (spec.kind == JobKind.GANG) assertEquals(spec.tasks, placed.size, "$what: half a gang")
        }
    }

    /**
     * A backlog on a large and full fleet: the work of a scheduling cycle must follow the room there is, not jobs x
     * tasks x machines,
     * which is 12 million looks at a machine here, and takes a small controller longer than a worker's lease.
     */
    @Test
    fun `a backlog on a large fleet keeps the limits and costs little`() {
        val random = Random(7)
        repeat(3) { cycle ->
            val task = Resources(5.0, 1.0, 27.0)
            val machines = List(1300) { n ->
                val busy = if (random.nextInt(20) == 0) random.nextInt(9) else 8
                val victims =
                    List(busy) { PreemptionCandidate(TaskId(JobId("req-old"), n * 8 + it), Priority.NORMAL, task) }
                machine(
                    "m$n",
                    listOf("a", "b").random(random),
                    n % 2 == 0,
                    full - task * busy,
                    images = setOf(Image("img-${n % 9}")),
                    preemptible = victims,
                )
            }
            val jobs = List(240) { n ->
                when (n % 3) {
                    0 -> job(spec(n, JobKind.ARRAY, 60, need = task, image = "img-${n % 16}"), n.toLong())

                    1 -> job(
                        spec(
                            n,
                            JobKind.GANG,
                            1 shl (n % 4),
                            Priority.HIGH,
                            Resources(43.0, 8.0, 230.0),
                            oneZone = true,
                            spot = false,
                        ),
                        n.toLong(),
                    )

                    else -> job(
                        spec(n, JobKind.ARRAY, 40, need = Resources(3.0, 1.0, 20.0), image = "img-${n % 16}"),
                        n.toLong(),
                    )
                }
            }
            val output = decide(machines, jobs, quota(200.0))
            assertKept("scheduling cycle $cycle", machines, jobs, output, 200.0)
            assertTrue(output.placed.isNotEmpty(), "scheduling cycle $cycle: nothing placed")
            // Seen: some 7,900.
            assertTrue(output.machineVisits < 20_000, "scheduling cycle $cycle: ${output.machineVisits} looks at a machine")
        }
    }

    @Test
    fun `tasks that may still be elsewhere count for spread and zone`() {
        val machines = listOf(machine("a1", "a"), machine("b1", "b"))
        val spread =
            JobView(
                spec(1, JobKind.SERVICE, 3, spread = true, spot = false),
                Revision(1),
                listOf(2),
                mapOf(Zone("a") to 2),
                null,
            )
        assertEquals(listOf(MachineId("b1")), decide(machines, listOf(spread)).placed.map { it.machine })
        val bound =
            JobView(spec(2, JobKind.GANG, 2, oneZone = true), Revision(1), listOf(1), mapOf(Zone("b") to 1), null)
        assertEquals(listOf(MachineId("b1")), decide(machines, listOf(bound)).placed.map { it.machine })
    }

    @Test
    fun `the fullest machine comes first, one with the image before it, an empty one last`() {
        fun emptier() = machine("m1", free = full - Resources(4.0, 1.0, 30.0))
        fun fuller() = machine("m2", free = full - Resources(4.0, 3.0, 30.0))
        assertEquals(MachineId("m2"), decide(listOf(emptier(), fuller()), listOf(job(spec(1)))).placed.single().machine)
        val warm = machine("m3", free = full - Resources(4.0, 1.0, 30.0), images = setOf(Image("img")))
        assertEquals(
            MachineId("m3"),
            decide(listOf(emptier(), fuller(), warm), listOf(job(spec(2)))).placed.single().machine,
        )
        // A short fetch is no reason to open a machine that a gang could have whole.
        val emptyWarm = machine("m4", images = setOf(Image("img")))
        assertEquals(MachineId("m2"), decide(listOf(emptyWarm, fuller()), listOf(job(spec(3)))).placed.single().machine)
    }

    @Test
    fun `services leave half a machine to work that yields to them, unless others need it whole`() {
        fun half() = machine("m1", free = full - Resources(16.0, 4.0, 120.0), serviceWeight = 26.0)
        fun less() = machine("m2", free = full - Resources(16.0, 4.0, 120.0), serviceWeight = 5.0)
        val service = job(spec(1, JobKind.SERVICE, 1, Priority.PRODUCTION, spot = false))
        fun chosen(whole: Boolean) = SchedulingCycle(
            CycleInput(listOf(half(), less()), listOf(service), quota(), wholeMachinesNeeded = whole),
        ).decide().placed.single().machine
        assertEquals(MachineId("m2"), chosen(whole = false))
        assertEquals(MachineId("m1"), chosen(whole = true))
    }

    @Test
    fun `services gather where services are, however full the others`() {
        val fullOfTasks = machine("m1", free = full - Resources(28.0, 7.0, 210.0))
        val someServices = machine("m2", free = full - Resources(8.0, 2.0, 60.0), serviceWeight = 10.0)
        val service = job(spec(1, JobKind.SERVICE, 1, Priority.PRODUCTION, spot = false))
        assertEquals(
            MachineId("m2"),
            decide(listOf(fullOfTasks, someServices), listOf(service)).placed.single().machine,
        )
        assertEquals(
            MachineId("m1"),
            decide(listOf(fullOfTasks, someServices), listOf(job(spec(2)))).placed.single().machine,
        )
    }

    @Test
    fun `more important work stops less important work, and never its equals`() {
        val taken = Resources(0.0, 0.0, 0.0)
        fun victims(priority: Priority) =
            List(8) { PreemptionCandidate(TaskId(JobId("req-9"), it), priority, Resources(4.0, 1.0, 30.0)) }
        val urgent = job(spec(1, JobKind.SERVICE, 1, Priority.PRODUCTION, spot = false))
        assertEquals(
            1,
            decide(listOf(machine("m1", free = taken, preemptible = victims(Priority.LOW))), listOf(urgent)).preempted.size,
        )
        assertEquals(
            0,
            decide(
                listOf(machine("m1", free = taken, preemptible = victims(Priority.PRODUCTION))),
                listOf(urgent),
            ).preempted.size,
        )
        assertEquals(
            0,
            decide(
                listOf(machine("m1", free = taken, preemptible = victims(Priority.LOW))),
                listOf(job(spec(2, priority = Priority.LOW))),
            ).preempted.size,
        )
    }

    @Test
    fun `a place that has the image is made free rather than a long fetch begun elsewhere`() {
        val victims =
            List(8) { PreemptionCandidate(TaskId(JobId("req-9"), it), Priority.LOW, Resources(4.0, 1.0, 30.0)) }
        fun warm(releasing: Resources = Resources.NONE) = machine(
            "m1",
            free = Resources(0.0, 0.0, 0.0),
            images = setOf(Image("img")),
            preemptible = victims,
            releasing = releasing,
        )
        fun service(gb: Double) = job(spec(1, JobKind.SERVICE, 1, Priority.PRODUCTION, spot = false).copy(imageGb = gb))
        val long = decide(listOf(warm(), machine("m2")), listOf(service(50.0)))
        assertEquals(0 to 1, long.placed.size to long.preempted.size)
        assertTrue(long.unplaced.isEmpty(), "nothing is to be rented for it")
        val short = decide(listOf(warm(), machine("m2")), listOf(service(5.0)))
        assertEquals(1 to 0, short.placed.size to short.preempted.size)
        // Room that is already being left is waited for, and nothing more is stopped.
        val second = decide(listOf(warm(releasing = Resources(4.0, 1.0, 30.0)), machine("m2")), listOf(service(50.0)))
        assertEquals(0 to 0, second.placed.size to second.preempted.size)
    }

    @Test
    fun `room kept free for production is taken by production alone`() {
        val service = spec(1, JobKind.SERVICE, 1, Priority.PRODUCTION, spot = false)
        fun placed(job: JobView) = SchedulingCycle(
            CycleInput(listOf(machine("m1")), listOf(job), quota(), listOf(CapacityReservation(service, 3))),
        ).decide().placed.size
        assertEquals(5, placed(job(spec(2, tasks = 8))))
        assertEquals(8, placed(job(spec(2, JobKind.SERVICE, 8, Priority.PRODUCTION, spot = false))))
    }

    @Test
    fun `what a waiting gang could use is kept from less important work`() {
        val whole = Resources(43.0, 8.0, 230.0)
        val gang = job(spec(1, JobKind.GANG, 2, Priority.HIGH, whole, oneZone = true), order = 2)
        val array = job(spec(2, tasks = 8), order = 1)
        assertEquals(emptyList(), decide(listOf(machine("m1")), listOf(gang, array)).placed)
        // Once the gang has its zone, machines elsewhere are free for others.
        val output =
            decide(
                listOf(machine("m1", "a"), machine("m2", "b"), machine("m3", "b"), machine("m4", "c")),
                listOf(gang, array),
            )
        assertEquals(
            setOf(MachineId("m2"), MachineId("m3")),
            output.placed.filter {
                it.task.job == gang.spec.id
            }.map { it.machine }.toSet(),
        )
        assertEquals(8, output.placed.count { it.task.job == array.spec.id })
    }

    /** Seen: replicas of a dozen images, lost with a zone, on two machines that then fetched for four minutes. */
    @Test
    fun `fetches are spread over machines, since they share a machine's rate`() {
        val part = full - Resources(4.0, 1.0, 30.0)
        val machines = List(6) { machine("m$it", free = part) }
        val jobs =
            List(6) {
                job(
                    spec(
                        it,
                        JobKind.SERVICE,
                        1,
                        Priority.PRODUCTION,
                        spot = false,
                        image = "img-$it",
                    ).copy(imageGb = 8.0),
                    it + 1L,
                )
            }
        assertEquals(6, decide(machines, jobs).placed.map { it.machine }.toSet().size)
        val busy = machine("m1", free = full - Resources(8.0, 2.0, 60.0), fetching = mapOf(Image("other") to 8.0))
        assertEquals(
            MachineId("m2"),
            decide(listOf(busy, machine("m2", free = part)), listOf(job(spec(9)))).placed.single().machine,
        )
        // Tasks that share an image share its fetch.
        val same = List(3) {
            job(
                spec(it, JobKind.SERVICE, 1, Priority.PRODUCTION, spot = false).copy(imageGb = 8.0),
                it + 1L,
            )
        }
        assertEquals(1, decide(machines, same).placed.map { it.machine }.toSet().size)
    }

    @Test
    fun `quota that silent workers may use is not given away`() {
        val output =
            decide(
                listOf(machine("m1")),
                listOf(job(spec(1, tasks = 8))),
                quota(10.0, reserved = Resources(48.0, 8.0, 384.0)),
            )
        assertEquals(2, output.placed.size)
    }

    /**
     * Seen: 25,000 tasks of a quarter of a processor on all machines; the accelerators beside them could not be used.
     */
    @Test
    fun `small tasks without accelerators leave what the accelerators need beside them`() {
        val beside = Resources(5.0, 0.0, 36.0)
        val small = spec(1, tasks = 1000, need = Resources(0.25, 0.0, 1.8))
        val photos = spec(2, tasks = 8, need = Resources(5.0, 1.0, 36.0))
        fun cycle(jobs: List<JobView>, machine: MachineView) =
            SchedulingCycle(CycleInput(listOf(machine), jobs, quota(), hostResourcesPerGpu = beside)).decide().placed
        val first = cycle(listOf(job(small)), machine("m"))
        assertEquals(32, first.size, "8 of 48 processors are left beside eight accelerators")
        val left = full - small.resources * first.size
        assertEquals(8, cycle(listOf(job(photos)), machine("m", free = left)).size)
        val busy = machine("m", free = Resources(8.0, 0.0, 96.0))
        assertEquals(32, cycle(listOf(job(small)), busy).size, "with all accelerators taken the rest is free for all")
        assertEquals(
            1,
            cycle(listOf(job(spec(3, need = Resources(16.0, 0.0, 64.0)))), machine("m")).size,
            "too large for what is left, ever",
        )
        assertEquals(
            192,
            SchedulingCycle(CycleInput(listOf(machine("m")), listOf(job(small)), quota())).decide().placed.size,
            "nobody uses accelerators",
        )
    }

    @Test
    fun `of equals the one whose aim is due sooner comes first, however large the other`() {
        val now = MonotonicInstant(0) + 1000.seconds
        val guest = job(spec(1, tasks = 1000, need = Resources(4.0, 1.0, 30.0)), order = 1, due = now + 400.seconds)
        val home = job(spec(2, tasks = 8), order = 2, due = now + 180.seconds)
        val output = decide(listOf(machine("m")), listOf(guest, home))
        assertTrue(output.placed.all { it.task.job == home.spec.id } && output.placed.size == 8)
    }

    @Test
    fun `for a job that failed wherever it was tried nothing is stopped, kept or rented`() {
        val victims =
            List(8) { PreemptionCandidate(TaskId(JobId("req-9"), it), Priority.LOW, Resources(4.0, 1.0, 30.0)) }
        val machine = machine("m", free = Resources(16.0, 0.0, 100.0), preemptible = victims)
        for (kind in listOf(JobKind.ARRAY, JobKind.GANG)) {
            val tried = job(spec(1, kind, priority = Priority.HIGH, tasks = 2), probe = true)
            val output = decide(listOf(machine), listOf(tried))
            assertTrue(output.preempted.isEmpty() && output.unplaced.isEmpty(), "$kind")
            assertEquals(2, decide(listOf(machine("free")), listOf(tried)).placed.size, "$kind")
        }
    }

    /** Seen: whoever came later fetched 21 GB anew, since the machines that had them were full of services. */
    @Test
    fun `in a rush services take half of a machine, those that fetch for longest first`() {
        val services =
            List(4) {
                job(
                    spec(
                        it,
                        JobKind.SERVICE,
                        tasks = 4,
                        priority = Priority.PRODUCTION,
                        image = "img$it",
                        imageGb =
                        5.0 + it,
                    ),
                    order = it + 1L,
                )
            }
        val machines = List(2) { machine("m$it") }
        fun rush(jobs: List<JobView>, on: List<MachineView>) =
            SchedulingCycle(CycleInput(on, jobs, quota(), mostlyBooting = true)).decide()
        val output = rush(services, machines)
        assertEquals(listOf(3, 2, 1).map { JobId("req-$it") }, output.placed.map { it.task.job }.distinct())
        assertTrue(
            output.placed.groupBy {
                it.machine
            }.values.all { it.size == 5 },
            "five take 25 of 28, which is half",
        )
        assertEquals(6, output.unplaced.sumOf { it.count })
        assertEquals(16, decide(machines, services).placed.size, "later nothing is held back")
        val warm =
            machine("m", free = full - Resources(4.0, 1.0, 30.0) * 4, images = setOf(Image("img0")), serviceWeight = 20.0)
        assertEquals(4, rush(listOf(services[0]), listOf(warm)).placed.size, "where the image is, nobody waits")
    }

    @Test
    fun `production joins a fetch that is nearly over rather than begin one`() {
        val service = job(spec(1, JobKind.SERVICE, priority = Priority.PRODUCTION, spot = false, imageGb = 20.0))
        val victims =
            List(4) { PreemptionCandidate(TaskId(JobId("req-9"), it), Priority.LOW, Resources(4.0, 1.0, 30.0)) }
        fun joining(leftGb: Double) = machine(
            "joined",
            free = Resources.NONE,
            preemptible = victims,
            fetching = mapOf(Image("img") to leftGb),
            fetchGbPerS = 0.25,
        )
        val empty = machine("empty", fetchGbPerS = 0.25)
        assertEquals(1, decide(listOf(joining(5.0), empty), listOf(service)).preempted.size)
        assertEquals("empty", decide(listOf(joining(19.0), empty), listOf(service)).placed.single().machine.text)
    }

    /** Seen: two thirds of the gangs started within 30 s beside guests' spare-time work; the rest waited for boots. */
    @Test
    fun `spare-time work makes room for a gang, on all machines that it needs or on none`() {
        val gang =
            job(
                spec(
                    1,
                    JobKind.GANG,
                    tasks = 2,
                    priority = Priority.HIGH,
                    need = Resources(43.0, 8.0, 230.0),
                    oneZone = true,
                    spot = false,
                ),
            )
        fun busy(id: String, zone: String, priority: Priority, count: Int = 8, spot: Boolean = false): MachineView {
            val victims =
                List(count) { PreemptionCandidate(TaskId(JobId("req-9$id"), it), priority, Resources(5.0, 1.0, 27.0)) }
            return machine(id, zone, spot, full - Resources(5.0, 1.0, 27.0) * count, preemptible = victims)
        }
        val one =
            listOf(
                busy("1", "a", Priority.LOW),
                busy("2", "b", Priority.LOW),
                busy("3", "a", Priority.NORMAL),
                busy("4", "a", Priority.LOW, spot = true),
            )
        assertTrue(decide(one, listOf(gang)).let { it.preempted.isEmpty() && it.unplaced.size == 1 })
        val two = one + busy("5", "b", Priority.LOW, 3) + busy("6", "a", Priority.LOW)
        val output = decide(two, listOf(gang))
        assertEquals(setOf("req-92", "req-95"), output.preempted.map { it.job.text }.toSet())
        assertEquals(11, output.preempted.size)
        assertTrue(output.placed.isEmpty() && output.unplaced.isEmpty())
        // While they leave, nobody else is stopped, and less important work doesn't take what is free there.
        val leaving = two.map {
            if (it.id.text in
                setOf("2", "5")
            ) {
                machine(it.id.text, "b", free = it.load.free, releasing = full - it.load.free)
            } else {
                it
            }
        }
        val next =
            decide(
                leaving,
                listOf(
                    gang,
                    job(spec(2, tasks = 30, priority = Priority.LOW, need = Resources(5.0, 1.0, 27.0)), order = 2),
                ),
            )
        assertTrue(next.preempted.isEmpty() && next.placed.none { it.machine.text in setOf("2", "5") })
    }

    /** Seen: eight of 800 small jobs began anew again and again, each time after minutes that no checkpoint kept. */
    @Test
    fun `what loses least is stopped, and small tasks only where large ones don't do`() {
        val now = MonotonicInstant(0) + 1000.seconds
        val gang =
            job(spec(1, JobKind.GANG, priority = Priority.HIGH, need = Resources(43.0, 8.0, 230.0), spot = false))
        fun busy(id: String, since: MonotonicInstant?): MachineView {
            val large =
                List(7) {
                    PreemptionCandidate(
                        TaskId(JobId("req-large$id"), it),
                        Priority.LOW,
                        Resources(5.0, 1.0, 27.0),
                        since,
                    )
                }
            val small =
                List(32) {
                    PreemptionCandidate(
                        TaskId(JobId("req-small$id"), it),
                        Priority.LOW,
                        Resources(0.25, 0.0, 1.0),
                        now - it.seconds,
                    )
                }
            return machine(id, free = Resources(5.0, 1.0, 100.0), preemptible = small + large)
        }
        val machines = listOf(busy("1", now - 100.seconds), busy("2", null), busy("3", now - 30.seconds))
        val stopped = SchedulingCycle(CycleInput(machines, listOf(gang), quota(), now = now)).decide().preempted
        assertEquals(7, stopped.count { it.job.text == "req-large2" })
        assertEquals(
            (0..11).toSet(),
            stopped.filter {
                it.job.text == "req-small2"
            }.map { it.index }.toSet(),
            "those that ran for least",
        )
        assertEquals(19, stopped.size)
    }

    /**
     * Seen: 102 starts for the 51 tasks of a job that had room from its first second; and 35 tasks of 32 CPUs stopped
     * in a day for tasks of 4.
     */
    @Test
    fun `stops spare jobs that are in time, and tasks much larger than what they make room for`() {
        val now = MonotonicInstant(0) + 1000.seconds
        fun victim(job: String, need: Resources, since: Int) = PreemptionCandidate(
            TaskId(JobId("req-$job"), 0),
            Priority.NORMAL,
            need,
            now - since.seconds,
        )
        val small = Resources(4.0, 0.0, 6.0)
        val urgent = job(spec(1, priority = Priority.HIGH, need = small))
        val late = JobView(spec(8, need = small), Revision(2), listOf(1), emptyMap(), null, late = true)
        fun stopped(vararg machines: MachineView) = SchedulingCycle(
            CycleInput(machines.toList(), listOf(urgent, late), quota(), now = now),
        ).decide().preempted.map {
            it.job.text
        }
        assertEquals(
            listOf("req-8"),
            stopped(
                machine("m", free = Resources.NONE, preemptible = listOf(victim("9", small, 1), victim("8", small, 25))),
            ),
        )
        assertEquals(
            listOf("req-9"),
            stopped(
                machine("m", free = Resources.NONE, preemptible = listOf(victim("9", small, 1), victim("8", small, 45))),
            ),
            "not at any price",
        )
        val large = victim("7", Resources(32.0, 0.0, 56.0), 5)
        assertEquals(
            listOf("req-9"),
            stopped(machine("m", free = Resources.NONE, preemptible = listOf(large, victim("9", small, 60)))),
        )
        assertEquals(
            listOf("req-9"),
            stopped(
                machine("m1", free = Resources.NONE, preemptible = listOf(large)),
                machine("m2", free = Resources.NONE, preemptible = listOf(victim("9", small, 60))),
            ),
        )
    }

    /**
     * Seen (drawn day 103, simulated machines): a team of 999 of 1,000 accelerators had one place free and no machine,
     * 414 machines were rented for all that waited behind it, and returned.
     */
    @Test
    fun `machines are asked for what a team's limit lets run, and no more`() {
        val jobs = List(6) { job(spec(it, tasks = 50), order = it + 1L) }
        for (left in 1..9) {
            val output = decide(listOf(machine("m1", free = Resources(48.0, 3.0, 384.0))), jobs, quota(left.toDouble()))
            assertEquals(minOf(left, 3), output.placed.size)
            assertEquals(left - minOf(left, 3), output.unplaced.sumOf { it.count }, "$left places left")
        }
        val gangs =
            List(4) { job(spec(it, JobKind.GANG, tasks = 2, need = Resources(40.0, 8.0, 300.0)), order = it + 1L) }
        assertEquals(2, decide(emptyList(), gangs, quota(40.0)).unplaced.size)
        // What waits for a zone where nothing may be had keeps no other work from being asked for.
        val bound = job(spec(8, tasks = 50, zone = Zone("b")), order = 1)
        assertEquals(
            mapOf("req-8" to 9, "req-9" to 5),
            decide(emptyList(), listOf(bound, job(spec(9, tasks = 5), order = 2)), quota(9.0)).unplaced.associate {
                it.spec.id.text to
                    it.count
            },
        )
    }

    /** Gangs of a team at its limit starved beside its arrays: each place that fell free went to a single task. */
    @Test
    fun `what falls free under a limit is kept for a gang that comes first`() {
        val gang = job(spec(1, JobKind.GANG, tasks = 2, priority = Priority.HIGH, need = Resources(40.0, 8.0, 300.0)))
        val array = job(spec(2, tasks = 50), order = 2)
        val machines = List(8) { machine("m$it") }
        fun ledger(used: Double, service: Boolean) = quota(24.0).apply { add(team, Resources(0.0, used, 0.0), service) }
        assertEquals(
            emptyList(),
            decide(machines, listOf(gang, array), ledger(12.0, service = false)).placed,
            "it waits for four more",
        )
        assertEquals(2 + 8, decide(machines, listOf(gang, array), ledger(0.0, service = false)).placed.size)
        // Services end when their users say so: nothing waits behind a gang that waits for that.
        assertEquals(12, decide(machines, listOf(gang, array), ledger(12.0, service = true)).placed.size)
    }

    @Test
    fun `the first task of what must begin comes before others' next ones, and never before more important work`() {
        val waits = job(spec(1, tasks = 40), order = 9, due = MonotonicInstant(0) + 900.seconds).withFirstTaskApart()
        assertEquals(listOf(1, 39), waits.map { it.pending.size })
        val small = job(spec(2, tasks = 20), order = 1, due = MonotonicInstant(0) + 10.seconds)
        val urgent = job(spec(3, tasks = 3, priority = Priority.HIGH), order = 2)
        fun placed(limit: Double) =
            decide(listOf(machine("m1")), waits + small + urgent, quota(limit)).placed.map { it.task.toString() }
        assertEquals(listOf("req-3/0", "req-3/1", "req-3/2", "req-1/0", "req-2/0"), placed(5.0))
        assertEquals(listOf("req-3/0", "req-3/1"), placed(2.0))
    }
}
