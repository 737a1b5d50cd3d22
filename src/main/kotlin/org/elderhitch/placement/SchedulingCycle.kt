package org.elderhitch.placement

import org.elderhitch.jobs.JobId
import org.elderhitch.jobs.JobKind
import org.elderhitch.jobs.JobSpec
import org.elderhitch.jobs.Priority
import org.elderhitch.jobs.Resources
import org.elderhitch.jobs.TaskId
import org.elderhitch.quota.Places
import org.elderhitch.settings.Zone
import kotlin.time.DurationUnit

/**
 * One scheduling cycle: what is known goes in, decisions come out. The most important jobs come first, work within a
 * team's guarantee before borrowed room, then the first tasks of what has long waited at its team's limit, then those
 * whose aims are due sooner, then older jobs before younger ones; each
 * task goes to the fullest machine that it fits. Exceptions, in [detour]: a machine that lacks the image, one that is
 * empty, and one that other work needs more ([ScarceCapacity]) come later by as many seconds as that costs; and for
 * services a machine is as full as
 * its services make it.
 *
 * Room only shrinks within a scheduling cycle, so that most of the fleet is never looked at twice: machines that are
 * too full for
 * any pending task are left out from the start or dropped on the way, a job walks along its candidates once, and what
 * found no room once isn't tried again.
 */
public class SchedulingCycle(private val input: CycleInput) {
    /** What this scheduling cycle has left of a machine. */
    private inner class Room(val of: MachineView) {
        var free = of.free
        var leaving = of.leaving
        var lasting = of.lasting
        var empty = of.empty
        var fetchingGb = of.fetching.values.sum()

        /** Images that are being fetched, those for tasks placed in this scheduling cycle included. */
        val coming = HashSet(of.fetching.keys)
        val victims = ArrayList(of.victims)

        /** What is still kept here for work that could run nowhere else. */
        var keeping = scarcity.keptOn(of)

        /** The least important of what could be stopped here. */
        val yields: Priority? = of.victims.minOfOrNull { it.priority }
    }

    private class Candidate(val room: Room, val detour: Double, val lasting: Double)

    private val scarcity = ScarceCapacity(input)
    private val late: Set<JobId> = input.jobs.filter { it.late }.mapTo(HashSet()) { it.spec.id }
    private val placed = ArrayList<PlacementDecision>()
    private val stopped = ArrayList<TaskId>()
    private val unplaced = ArrayList<UnplacedTasks>()
    private var visits = 0L

    /** The least that any task here takes: what has less room is of no use to this scheduling cycle. */
    private val least = input.least()
    private val open = ArrayList<Room>()

    /** Where tasks are being stopped. */
    private val leaving = LinkedHashSet<Room>()

    /** Where tasks could be stopped for more important ones. */
    private val yielding = ArrayList<Room>()

    public fun decide(): CycleOutput {
        val mostImportant = input.jobs.maxOfOrNull { it.spec.priority }
        for (view in input.machines) {
            visits++
            val roomy = least.fitsIn(view.free)
            val leaves = view.leaving != Resources.NONE
            val yields = mostImportant != null && view.victims.any { it.priority < mostImportant }
            if (!roomy && !leaves && !yields) continue
            val room = Room(view)
            if (roomy) open.add(room)
            if (leaves) leaving.add(room)
            if (yields) yielding.add(room)
        }
        val keeping = ArrayDeque(input.keptFree.sortedByDescending { it.spec.priority })
        for (job in input.jobs.sortedWith(input.order())) {
            while (keeping.isNotEmpty() &&
                keeping.first().spec.priority > job.spec.priority
            ) {
                keepFree(keeping.removeFirst())
            }
            if (job.spec.kind == JobKind.GANG) placeGang(job) else placeTasks(job)
        }
        return CycleOutput(placed, stopped, unplaced, visits, scarcity.scarce, scarcity.keptCount)
    }

    private fun keepFree(kept: CapacityReservation) {
        val candidates = candidates(kept.spec)
        var next = 0
        repeat(kept.tasks) {
            while (next < candidates.size && !kept.spec.need.fitsIn(candidates[next].free)) next++
            if (next == candidates.size) return
            candidates[next].free -= kept.spec.need
        }
    }

    private fun allowed(machine: MachineView, spec: JobSpec): Boolean =
        spec.mayUse(machine.type, machine.zone, machine.spot) && spec.id !in machine.shunnedBy

    private fun fits(spec: JobSpec, room: Room): Boolean =
        spec.need.fitsIn(room.free) && scarcity.admits(spec, room.of, room.free, room.keeping)

    private fun takes(spec: JobSpec, room: Room): Boolean = fits(spec, room) && !waitsForMore(spec, room)

    /** Where a task of the job fits now, the best place first. */
    private fun candidates(spec: JobSpec): List<Room> {
        val fitting = ArrayList<Candidate>()
        var kept = 0
        for (room in open) {
            visits++
            if (!least.fitsIn(room.free)) continue
            open[kept++] = room
            if (takes(spec, room) && allowed(room.of, spec)) {
                fitting.add(
                    Candidate(
                        room,
                        detour(spec, room),
                        if (spec.kind ==
                            JobKind.SERVICE
                        ) {
                            gathering(spec, room)
                        } else {
                            0.0
                        },
                    ),
                )
            }
        }
        open.subList(kept, open.size).clear()
        fitting.sortWith(PREFERENCE)
        return fitting.map { it.room }
    }

    /**
     * Services gather where services are. But unless others need whole machines, only up to half of one: the other half
     * is for work that makes room for them, where their images are, when a zone is lost with a third of them.
     */
    private fun gathering(spec: JobSpec, room: Room): Double = if (input.wholeMachines ||
        room.lasting + spec.need.weight <= room.of.whole.weight / 2
    ) {
        room.lasting
    } else {
        -room.lasting
    }

    /**
     * While most of the fleet still boots, services take no more than half of a machine either, unless their image is
     * there. Seen: the first 26 machines of a morning filled up with services, and whoever came later with the same
     * image
     * fetched it elsewhere for a minute and a half, since nothing on those machines made room.
     */
    private fun waitsForMore(spec: JobSpec, room: Room): Boolean = input.rush &&
        !input.wholeMachines &&
        spec.kind == JobKind.SERVICE &&
        spec.image !in room.of.images &&
        room.lasting + spec.need.weight > room.of.whole.weight / 2

    /**
     * What speaks against a machine, in seconds: the fetch, and what it costs others when an empty machine is opened.
     */
    private fun detour(spec: JobSpec, room: Room): Double {
        val opening = if (room.empty) OPENING_S else 0.0
        // Cheap room is for those who may use it; the rest stays free for those who may not.
        val dear = if (spec.spotAllowed && !room.of.spot) DEAR_S else 0.0
        val guest = if (!scarcity.isGuest(spec, room.of)) {
            0.0
        } else if (scarcity.keepsFrom(spec, room.of)) {
            KEPT_S
        } else {
            GUEST_S
        }
        return fetch(spec, room) + opening + dear + guest
    }

    /**
     * How long the image would take to be there, in seconds. Without a look at what is fetched already, many services
     * that
     * lost their machines went to the few with most room, and fetched there one beside the other for minutes.
     */
    private fun fetch(spec: JobSpec, room: Room): Double {
        if (spec.image in room.of.images) return 0.0
        // What is being fetched already is there as soon as the rest of it.
        val own = if (spec.image in room.coming) 0.0 else spec.imageGb
        return (own + room.fetchingGb) / room.of.fetchGbPerS.coerceAtLeast(SLOWEST_FETCH)
    }

    private fun placeTasks(job: JobView) {
        val spec = job.spec
        val zones = HashMap(job.zones)
        val candidates = candidates(spec)
        var next = 0
        var missing = 0
        var warmRoom = true
        for (index in job.pending) {
            if (!input.quota.allows(spec.team, spec.need)) break
            // Neither room nor zones ever come back within a scheduling cycle: what is passed over once is of no more
            // use to this job.
            while (next < candidates.size &&
                !(takes(spec, candidates[next]) && spec.zoneAllows(zones, candidates[next].of.zone))
            ) {
                next++
            }
            val room = candidates.getOrNull(next)
            if (room == null) {
                if (!input.quota.wants(spec.team, spec.need, Places.of(spec))) break
                missing++
                continue
            }
            // Better wait for a place that has the image, or will have it soon, than fetch it elsewhere for longer.
            val alternative = fetch(spec, room) - WORTH_STOPPING_S
            if (warmRoom && !job.probe && alternative > 0) {
                warmRoom = makeRoom(spec, zones) { fetch(spec, it) < alternative }
                if (warmRoom) continue
            }
            take(job, index, room, zones)
        }
        if (job.probe) {
            if (missing > 0 && nowhereToTry(job)) unplaced.add(UnplacedTasks(spec, 1, zones))
            return
        }
        val anywhere = !(input.rush && spec.kind == JobKind.SERVICE)
        while (missing > 0 && makeRoom(spec, zones) { anywhere || spec.image in it.of.images }) missing--
        if (missing > 0) unplaced.add(UnplacedTasks(spec, missing, zones))
    }

    /**
     * Machines are rented for a job that failed everywhere only where none is left to try it on. Seen: a job of one
     * task failed on
     * the two machines that there were; both were returned as idle, and it waited for ever.
     */
    private fun nowhereToTry(job: JobView): Boolean = input.machines.none {
        job.spec.mayUse(it.type, it.zone, it.spot) && (job.atFault || job.spec.id !in it.shunnedBy)
    }

    private fun take(job: JobView, index: Int, room: Room, zones: MutableMap<Zone, Int>) {
        room.free -= job.spec.need
        if (room.keeping != Resources.NONE &&
            !scarcity.keepsFrom(job.spec, room.of)
        ) {
            room.keeping = (room.keeping - job.spec.need).atLeastNone()
        }
        room.empty = false
        if (job.spec.image !in room.of.images && room.coming.add(job.spec.image)) room.fetchingGb += job.spec.imageGb
        if (job.spec.kind == JobKind.SERVICE) room.lasting += job.spec.need.weight
        zones.merge(room.of.zone, 1, Int::plus)
        input.quota.add(job.spec.team, job.spec.need, lasts = job.spec.kind == JobKind.SERVICE)
        placed.add(PlacementDecision(TaskId(job.spec.id, index), room.of.id, job.joinAttempt))
    }

    /** Finds room that is being left, or makes some at the cost of the least important task; true if it will come. */
    private fun makeRoom(spec: JobSpec, zones: MutableMap<Zone, Int>, where: (Room) -> Boolean): Boolean {
        val usable = { room: Room ->
            visits++
            allowed(room.of, spec) && spec.zoneAllows(zones, room.of.zone) && where(room)
        }
        val room =
            leaving.firstOrNull { spec.need.fitsIn(it.free + it.leaving) && usable(it) } ?: stopFor(spec, usable)
                ?: return false
        speakFor(room, spec)
        zones.merge(room.of.zone, 1, Int::plus)
        return true
    }

    /** What is free there now is spoken for as well as what will be: nobody less important may take it meanwhile. */
    private fun speakFor(room: Room, spec: JobSpec) {
        val fromFree = Resources(
            minOf(room.free.cpus, spec.need.cpus),
            minOf(room.free.gpus, spec.need.gpus),
            minOf(room.free.memoryGb, spec.need.memoryGb),
        )
        room.free -= fromFree
        room.leaving -= spec.need - fromFree
    }

    private fun stop(room: Room, victims: List<PreemptionCandidate>) {
        for (victim in victims) {
            room.victims.remove(victim)
            room.leaving += victim.need
            stopped.add(victim.task)
        }
        leaving.add(room)
    }

    /** Stops what costs least on one machine, rather on one that has the image, or will have it first. */
    private fun stopFor(spec: JobSpec, usable: (Room) -> Boolean): Room? {
        var best: Room? = null
        var bestStops: List<PreemptionCandidate> = emptyList()
        var bestFetch = Double.MAX_VALUE
        for (room in yielding) {
            if (room.yields.let { it == null || it >= spec.priority } || !usable(room)) continue
            val stops = roomAfterStops(room, spec, spec.priority) ?: continue
            val fetch = fetch(spec, room)
            if (best == null ||
                fetch < bestFetch ||
                fetch == bestFetch &&
                cost(stops, spec.need) < cost(bestStops, spec.need)
            ) {
                best = room
                bestStops = stops
                bestFetch = fetch
            }
        }
        val room = best ?: return null
        stop(room, bestStops)
        return room
    }

    /**
     * The least important first, then few large ones rather than many small, but none much larger than what is needed,
     * then those that lose least.
     */
    private fun cheapest(need: Resources): Comparator<PreemptionCandidate> =
        compareBy({ it.priority }, { it.need.weight > need.weight * MUCH_LARGER }, { -it.need.weight }, { loses(it) })

    /**
     * What stops cost their users, in seconds: each is started again somewhere, and does again what was not saved. A
     * task many times as
     * large as what it makes room for loses as many times more work. Seen: 35 tasks of 32 CPUs stopped in a day for
     * tasks of 4.
     */
    private fun cost(stops: List<PreemptionCandidate>, need: Resources): Double = stops.sumOf {
        (STOP_S + loses(it)) *
            maxOf(1.0, it.need.weight / need.weight)
    }

    /**
     * A job that is in time may be late for one task that begins anew, and one that is late already can't. Seen: 102
     * starts for the 51 tasks of a job
     * that had room from its first second, each time of those that had run for least, and it was late.
     */
    private fun loses(victim: PreemptionCandidate): Double =
        lost(victim) + if (victim.task.job in late) 0.0 else IN_TIME_S

    private fun lost(victim: PreemptionCandidate): Double =
        victim.unsavedSince?.let { (input.now - it).toDouble(DurationUnit.SECONDS) } ?: 0.0

    private fun roomAfterStops(room: Room, spec: JobSpec, below: Priority): List<PreemptionCandidate>? {
        val chosen = ArrayList<PreemptionCandidate>()
        var sum = room.free + room.leaving
        for (victim in room.victims.filter { it.priority < below }.sortedWith(cheapest(spec.need))) {
            if (spec.need.fitsIn(sum)) break
            sum += victim.need
            chosen.add(victim)
        }
        return chosen.takeIf { spec.need.fitsIn(sum) }
    }

    /** All of the pending tasks in this scheduling cycle, or none. */
    private fun placeGang(job: JobView) {
        val spec = job.spec
        val all = spec.need * job.pending.size
        if (!input.quota.allows(spec.team, all)) {
            // Room under the limit falls free bit by bit: less important work of its team would take each bit, and the
            // gang would never find all at once.
            if (input.quota.couldAllow(spec.team, all)) input.quota.add(spec.team, all)
            return
        }
        val candidates = candidates(spec)
        val byZone = candidates.groupBy { it.of.zone }
        val choices: List<List<Room>> = when {
            !spec.oneZone -> listOf(candidates)

            job.zones.isNotEmpty() -> job.zones.keys.map { byZone[it].orEmpty() }

            // The zone with the least room that will do: the larger ones stay whole for larger gangs.
            else -> byZone.values.sortedBy { rooms -> rooms.sumOf { it.free.gpus } }
        }
        val choice = choices.firstNotNullOfOrNull { fit(job, it) }
        if (choice == null) {
            if (if (job.probe) !nowhereToTry(job) else stopForGang(job, candidates)) return
            if (input.quota.wants(
                    spec.team,
                    all,
                    Places.of(spec),
                )
            ) {
                unplaced.add(UnplacedTasks(spec, job.pending.size, job.zones))
            }
            reserve(job, choices)
            return
        }
        val zones = HashMap(job.zones)
        for ((index, room) in job.pending.zip(choice)) take(job, index, room, zones)
    }

    /**
     * A gang that misses some machines keeps the ones it could use: less important work, which comes later in this
     * scheduling cycle, would take each of them as it falls free, and the gang would never find all at once.
     */
    private fun reserve(job: JobView, choices: List<List<Room>>) {
        val best = choices.maxByOrNull { it.size } ?: return
        for (room in best.take(job.pending.size)) room.free -= job.spec.need
    }

    /**
     * Work of the lowest priority makes room for a gang, on as many machines as it has tasks or on none; true if it
     * will
     * come. More important work doesn't: a gang would stop tasks of many jobs at once. Seen: gangs waited for a boot
     * while guests' spare-time work filled the machines.
     */
    private fun stopForGang(job: JobView, whole: List<Room>): Boolean {
        val spec = job.spec
        if (spec.spread) return false
        val below = minOf(spec.priority, Priority.NORMAL)
        val spare = yielding.filter { room -> room.yields.let { it != null && it < below } }
        if (spare.isEmpty() && leaving.isEmpty()) return false
        val offers = ArrayList<Pair<Room, List<PreemptionCandidate>>>()
        for (room in LinkedHashSet(whole).apply {
            addAll(leaving)
            addAll(spare)
        }) {
            visits++
            if (!allowed(room.of, spec) || job.zones.isNotEmpty() && !spec.zoneAllows(job.zones, room.of.zone)) continue
            roomAfterStops(room, spec, below)?.let { offers.add(room to it) }
        }
        val groups = if (spec.oneZone) offers.groupBy { it.first.of.zone }.values else listOf(offers)
        val chosen = groups.filter { it.size >= job.pending.size }
            .map { group -> group.sortedBy { cost(it.second, spec.need) }.take(job.pending.size) }
            .minByOrNull { group -> group.sumOf { cost(it.second, spec.need) } } ?: return false
        for ((room, victims) in chosen) {
            stop(room, victims)
            speakFor(room, spec)
        }
        return true
    }

    private fun fit(job: JobView, candidates: List<Room>): List<Room>? {
        val spec = job.spec
        val zones = HashMap(job.zones)
        val chosen = ArrayList<Room>()
        var next = 0
        var free = candidates.firstOrNull()?.free ?: return null
        while (chosen.size < job.pending.size) {
            val room = candidates[next]
            visits++
            if (spec.need.fitsIn(free) && (zones[room.of.zone] ?: 0) < spec.mostInOneZone) {
                free -= spec.need
                zones.merge(room.of.zone, 1, Int::plus)
                chosen.add(room)
            } else {
                if (++next == candidates.size) return null
                free = candidates[next].free
            }
        }
        return chosen
    }

    private companion object {
        const val SLOWEST_FETCH = 0.01
        const val OPENING_S = 12.0

        // Stopping a less important task takes its time to save and a report or two; a fetch longer than this is worse.
        const val WORTH_STOPPING_S = 12.0
        const val DEAR_S = 6.0

        /** More than all else that speaks against a machine: where others could run nowhere else, guests come last. */
        const val GUEST_S = 40.0
        const val KEPT_S = 80.0
        const val STOP_S = 10.0
        const val IN_TIME_S = 30.0
        const val MUCH_LARGER = 2.0

        val PREFERENCE: Comparator<Candidate> = Comparator { a, b ->
            var order = a.detour.compareTo(b.detour)
            if (order == 0) order = b.lasting.compareTo(a.lasting)
            if (order == 0) order = a.room.free.gpus.compareTo(b.room.free.gpus)
            if (order == 0) order = a.room.free.cpus.compareTo(b.room.free.cpus)
            if (order == 0) order = a.room.of.id.compareTo(b.room.of.id)
            order
        }
    }
}
