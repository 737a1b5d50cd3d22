package org.elderhitch.sweeps

import org.elderhitch.features.FeatureContext
import org.elderhitch.http.HttpServer
import org.elderhitch.http.Request
import org.elderhitch.http.Response
import org.elderhitch.json.Json
import org.elderhitch.json.JsonObject
import org.elderhitch.json.MalformedJson
import org.elderhitch.store.Revision
import org.slf4j.LoggerFactory

/** The paths of sweeps, `/sweeps/…`: statuses and bodies, and what each asks for. */
internal class SweepService(
    private val settings: SweepsSettings,
    private val sweepRegistry: SweepRegistry,
    private val library: DescriptionStore,
    private val endings: Endings,
    private val acceptance: Acceptance,
    private val context: FeatureContext,
    private val valueBytes: Int,
) {
    private val log = LoggerFactory.getLogger("elderhitch.sweeps")

    suspend fun handle(request: Request): Response = try {
        val words = request.path.removePrefix("/sweeps").split('/').filter { it.isNotEmpty() }
        if (words.isEmpty()) {
            HttpServer.only("GET", request) { list(request.query["after"]) }
        } else {
            val id =
                SweepId.parse(words[0])
                    ?: throw MalformedJson("the name of a sweep is 4 to 24 small letters and digits")
            sweep(id, words.drop(1), request)
        }
    } catch (e: MalformedJson) {
        HttpServer.refusal(BAD, e.message.orEmpty())
    } catch (e: BadTemplate) {
        HttpServer.refusal(BAD, e.message.orEmpty())
    }

    private suspend fun sweep(id: SweepId, rest: List<String>, request: Request): Response = when {
        rest.isEmpty() && request.method == "POST" -> accept(id, Json.parseObject(request.body))

        rest.isEmpty() -> HttpServer.only("GET", request) { known(id) { ok(shown(it)) } }

        rest.size == 2 && rest[0] == "part" -> HttpServer.only("POST", request) {
            part(id, rest[1].toIntOrNull(), Json.parseObject(request.body))
        }

        rest == listOf("points") -> HttpServer.only("GET", request) { known(id) { points(it, request.query) } }

        rest.size == 2 && rest[0] == "points" -> HttpServer.only("GET", request) {
            known(id) { point(it, rest[1].toIntOrNull()) }
        }

        rest == listOf("withdraw") -> HttpServer.only("POST", request) {
            known(id) {
                cancel(
                    it,
                    if (request.body.isEmpty()) {
                        JsonObject.of(
                            emptyMap<String, Any>(),
                        )
                    } else {
                        Json.parseObject(request.body)
                    },
                )
            }
        }

        else -> HttpServer.refusal(NOT_FOUND, "no such path")
    }

    /** 404 only after all that is recorded by now is known here. */
    private suspend fun known(id: SweepId, answer: suspend (SweepState) -> Response): Response {
        if (!context.sync()) return later("the state service doesn't answer")
        return sweepRegistry.of(id)?.let { answer(it) } ?: HttpServer.refusal(NOT_FOUND, "no such sweep")
    }

    private suspend fun part(id: SweepId, number: Int?, body: JsonObject): Response {
        if (number == null || number !in 0 until Parts.MOST) {
            throw MalformedJson("part: not from 0 to ${Parts.MOST - 1}")
        }
        return when (library.put(id, number, body.string("data"))) {
            DescriptionStore.Put.RECORDED -> ok(mapOf("part" to number))

            DescriptionStore.Put.OTHER -> HttpServer.refusal(
                CONFLICT,
                "another part $number stands under this name: choose another name for the sweep",
            )

            DescriptionStore.Put.TOO_LARGE -> HttpServer.refusal(BAD, "data: a part's value may have $valueBytes bytes")

            DescriptionStore.Put.NOT_NOW -> later("the state service takes no record now")
        }
    }

    /**
     * Accepted once its manifest stands. A repeat of an accepted sweep is told so, whatever would be said of it now.
     */
    private suspend fun accept(id: SweepId, body: JsonObject): Response {
        val parts = body.count("parts").toInt()
        val sum = body.string("sum")
        if (parts !in 1..Parts.MOST) throw MalformedJson("parts: not from 1 to ${Parts.MOST}")
        if (!context.sync()) return later("the state service doesn't answer")
        sweepRegistry.of(id)?.let { return repeated(it, sum) }
        return when (val read = library.parts(id, parts)) {
            is Reading.Packed -> if (Description.sum(read.bytes) == sum) {
                accept(id, body, read)
            } else {
                HttpServer.refusal(CONFLICT, "the parts are not those of sum $sum")
            }

            is Reading.Missing -> HttpServer.refusal(CONFLICT, "part ${read.part} is missing")

            Reading.NotNow -> later("the state service doesn't answer")
        }
    }

    private suspend fun accept(id: SweepId, body: JsonObject, packed: Reading.Packed): Response {
        val description = Description.unpack(packed.bytes)
        val dry = body.booleanOrNull("dry") ?: false
        return when (val checked = acceptance.check(id, description)) {
            is Checked.Refused -> refused(checked)

            is Checked.NotNow -> later(checked.reason)

            is Checked.Fine -> if (dry) {
                ok(estimate(id, description, checked))
            } else {
                val parts = body.count("parts").toInt()
                record(id, parts, body.string("sum"), packed.firstPart, description, checked)
            }
        }
    }

    private fun refused(checked: Checked.Refused): Response {
        val body = linkedMapOf(
            "error" to checked.reason,
            "bad_count" to checked.badCount,
            "bad" to checked.bad.map(::told),
        )
        return Response(BAD, Json.bytes(body))
    }

    private fun repeated(state: SweepState, sum: String): Response = if (state.manifest.sum == sum) {
        ok(shown(state))
    } else {
        HttpServer.refusal(CONFLICT, "another sweep has the name ${state.id}")
    }

    private suspend fun record(
        id: SweepId,
        parts: Int,
        sum: String,
        firstPart: Revision,
        description: Description,
        checked: Checked.Fine,
    ): Response {
        if (sweepRegistry.all.count { it.open > 0 } >= settings.mostOpen) {
            return Response(
                BUSY,
                Json.bytes(mapOf("error" to "${settings.mostOpen} sweeps are open")),
                mapOf("Retry-After" to "10"),
            )
        }
        val manifest =
            Manifest(
                description.points.count,
                parts,
                sum,
                checked.first.team.text,
                checked.first.jobClass,
                context.wallClock.now(),
                acceptance.packed(checked.skipped),
            )
        if (Json.bytes(manifest.encode()).size > valueBytes) {
            return HttpServer.refusal(BAD, "too many malformed points lie scattered: ${checked.badCount}")
        }
        val accepted = endings.accept(id, manifest, firstPart) ?: return later("the state service takes no record now")
        if (!accepted.isNew) return repeated(accepted.state, sum)
        log.info(
            "sweep accepted sweep={} points={} skipped={} team={} class={}",
            id,
            manifest.points,
            checked.badCount,
            manifest.team,
            manifest.jobClass,
        )
        return Response(
            CREATED,
            Json.bytes(
                shown(accepted.state) + mapOf("bad_count" to checked.badCount, "bad" to checked.bad.map(::told)),
            ),
        )
    }

    private fun told(bad: Malformed): Map<String, Any?> = linkedMapOf(
        "row" to bad.row,
        "column" to bad.column,
        "reason" to bad.reason,
    )

    /** What a submission would come to. */
    private fun estimate(id: SweepId, description: Description, checked: Checked.Fine): Map<String, Any?> {
        val good = (0 until description.points.count).filter { it !in checked.skipped }
        val team = context.settings.teams[checked.first.team]
        val perGpu = team?.mostGpus?.let { limit ->
            checked.first.resources.gpus.takeIf { it > 0 }?.let { (limit / it).toInt() }
        }
        val perCpu = team?.mostCpus?.let { limit ->
            checked.first.resources.cpus.takeIf { it > 0 }?.let { (limit / it).toInt() }
        }
        return linkedMapOf(
            "sweep" to id.text, "points" to description.points.count, "skipped" to checked.badCount,
            "bad" to checked.bad.map(::told), "tasks" to checked.tasks,
            "first" to description.body(id, good.first()), "last" to description.body(id, good.last()),
            "at_once" to description.atOnce,
            "team_limit_tasks" to listOfNotNull(perGpu, perCpu).minOrNull(),
            "task_hours" to Math.rint(checked.taskSeconds / SECONDS_PER_HUNDREDTH) / HUNDREDTHS,
        ).filterValues { it != null }
    }

    private fun list(after: String?): Response {
        val all = sweepRegistry.all.sortedBy { it.id.text }.filter { after == null || it.id.text > after }
        val page = all.take(PAGE)
        return ok(linkedMapOf("sweeps" to page.map { counts(it) }, "more" to (all.size > page.size)))
    }

    private fun counts(state: SweepState): Map<String, Any?> = linkedMapOf(
        "sweep" to state.id.text, "points" to state.points, "done" to state.done, "withdrawn" to state.cancelled,
        "skipped" to state.skippedCount,
        "open" to state.open, "team" to state.manifest.team, "class" to state.manifest.jobClass,
        "accepted" to state.manifest.at.toString(),
    )

    private fun shown(state: SweepState): Map<String, Any?> {
        val work = state.work
        return counts(state) + linkedMapOf(
            "sum" to state.manifest.sum,
            "account" to linkedMapOf(
                "completed" to work.completed, "attempts" to work.attempts, "lost" to work.lost,
                "useful_s" to hundredths(work.usefulS), "lost_s" to hundredths(work.lostS),
                "lower_bounds" to work.least, "p50_s" to work.percentile(HALF), "p90_s" to work.percentile(MOST),
                "p99_s" to work.percentile(NEARLY_ALL),
            ).filterValues { it != null },
        )
    }

    private fun hundredths(seconds: Double): Double = Math.rint(seconds * HUNDREDTHS) / HUNDREDTHS

    private fun stateOf(state: SweepState, point: Int): String = state.endOf(point)?.name?.lowercase() ?: if (
        context.runningTasks(state.id.point(point)) > 0
    ) {
        "running"
    } else {
        "open"
    }

    private suspend fun points(state: SweepState, query: Map<String, String>): Response {
        val wanted = query["state"]
        if (wanted != null && wanted !in STATES) throw MalformedJson("state: none of $STATES")
        val after = query["after"]?.let { it.toIntOrNull() ?: throw MalformedJson("after: no number") } ?: -1
        val count =
            query["count"]?.let {
                it.toIntOrNull()?.takeIf { n -> n in 1..MOST_POINTS }
                    ?: throw MalformedJson("count: not from 1 to $MOST_POINTS")
            }
                ?: MOST_POINTS
        if (wanted == FAILED) return failed(state, after, count)
        val matching = (after + 1 until state.points).asSequence().map { it to stateOf(state, it) }.filter {
            wanted ==
                null ||
                it.second == wanted
        }.take(count + 1).toList()
        return ok(
            linkedMapOf(
                "points" to matching.take(count).map { (point, word) -> entry(state, point, word) },
                "more" to (matching.size > count),
            ),
        )
    }

    /** Open points that failed wherever they were tried: with a mistake of their own, most likely. */
    private suspend fun failed(state: SweepState, after: Int, count: Int): Response {
        val failing = context.faultyJobs() ?: return later("no leader answers")
        val points = failing.mapNotNull { job ->
            SweepId.ofPoint(job)?.takeIf { it.first == state.id }?.second
        }.filter {
            it >
                after &&
                state.endOf(it) == null
        }.sorted()
        return ok(
            linkedMapOf(
                "points" to points.take(count).map { entry(state, it, FAILED) },
                "more" to (points.size > count),
            ),
        )
    }

    private fun entry(state: SweepState, point: Int, word: String): Map<String, Any?> = linkedMapOf(
        "point" to point,
        "id" to state.id.point(point).text,
        "state" to word,
    )

    private suspend fun point(state: SweepState, point: Int?): Response {
        if (point == null || point !in 0 until state.points) return HttpServer.refusal(NOT_FOUND, "no such point")
        val description = library.read(state) ?: return later("the description can't be read now")
        val body = try {
            description.body(state.id, point)
        } catch (e: BadPoint) {
            return ok(
                linkedMapOf(
                    "point" to point,
                    "state" to stateOf(state, point),
                    "error" to "${e.column}: ${e.reason}",
                ),
            )
        }
        return ok(
            linkedMapOf(
                "point" to point,
                "id" to state.id.point(point).text,
                "state" to stateOf(state, point),
                "job" to body,
            ),
        )
    }

    private suspend fun cancel(state: SweepState, body: JsonObject): Response {
        val from = body.longOrNull("from") ?: 0
        val to = body.longOrNull("to") ?: (state.points - 1L)
        if (from < 0 || to < from || from >= state.points) {
            throw MalformedJson("from, to: no points of 0 to ${state.points - 1}")
        }
        val range = from.toInt()..minOf(to, state.points - 1L).toInt()
        if (endings.cancel(state, range) == Withdrawal.NOT_NOW) {
            return later("the state service takes no record now; what was not recorded is asked for again")
        }
        log.info("sweep withdrawn sweep={} points={}", state.id, range)
        return ok(shown(state))
    }

    private fun ok(body: Map<String, Any?>) = Response(OK, Json.bytes(body))

    private fun later(reason: String) =
        Response(BUSY, Json.bytes(mapOf("error" to reason)), mapOf("Retry-After" to "1"))

    private companion object {
        const val OK = 200
        const val CREATED = 201
        const val BAD = 400
        const val NOT_FOUND = 404
        const val CONFLICT = 409
        const val BUSY = 503
        const val PAGE = 200

        /** A line of an answer may be 64 KiB long; a point's entry takes some 70 bytes. */
        const val MOST_POINTS = 500
        const val FAILED = "failed"
        val STATES = listOf("open", "running", "done", "withdrawn", "skipped", FAILED)
        const val HALF = 0.5
        const val MOST = 0.9
        const val NEARLY_ALL = 0.99
        const val SECONDS_PER_HUNDREDTH = 36.0
        const val HUNDREDTHS = 100.0
    }
}
