package org.elderhitch.app

import io.micrometer.core.instrument.Counter
import io.micrometer.core.instrument.Gauge
import io.micrometer.core.instrument.Timer
import io.micrometer.core.instrument.simple.SimpleMeterRegistry
import org.elderhitch.http.Request
import org.elderhitch.http.Response
import org.elderhitch.time.SteadyClock
import java.util.concurrent.TimeUnit

/** Counters and timers of this process, readable at /status. */
public class Metrics(private val clock: SteadyClock) {
    private val registry = SimpleMeterRegistry()
    private val submissions = Timer.builder("users.submit").register(registry)
    private val shows = Timer.builder("users.show").register(registry)
    private val withdrawals = Timer.builder("users.withdraw").register(registry)
    private val refused = Counter.builder("users.refused").register(registry)

    public fun gauge(name: String, value: () -> Number) {
        Gauge.builder(name, value).register(registry)
    }

    public suspend fun timed(request: Request, serve: suspend () -> Response): Response {
        val from = clock.now()
        val response = serve()
        val timer = when {
            request.method == "GET" -> shows
            request.path.endsWith("/withdraw") -> withdrawals
            else -> submissions
        }
        timer.record((clock.now() - from).inWholeNanoseconds, TimeUnit.NANOSECONDS)
        if (response.status == REFUSED) refused.increment()
        return response
    }

    public fun read(): Map<String, Any?> = registry.meters.sortedBy { it.id.name }.associate { meter ->
        meter.id.name to when (meter) {
            is Timer -> mapOf(
                "count" to meter.count(),
                "mean_ms" to meter.mean(TimeUnit.MILLISECONDS),
                "max_ms" to meter.max(TimeUnit.MILLISECONDS),
            )

            is Counter -> meter.count()

            is Gauge -> meter.value()

            else -> null
        }
    }

    private companion object {
        const val REFUSED = 503
    }
}
