package org.radishspur.decision.slot;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Collections;
import java.util.List;
import java.util.Random;
import java.util.Set;

import org.radishspur.model.catalogue.OrganisationRule;

/**
 * Describes the organisations whose requests arrive in a {@link SchedulerSimulation}.
 *
 * @param sizes the requests of each organisation as a part of the requests of all, which needn't sum to 1.
 */
record OrganisationMix(List<Double> sizes) {
    /** Returns some organisations of which each sends less than the one before by a factor. */
    static OrganisationMix skewed(int count, double factor) {
        List<Double> sizes = new ArrayList<>();
        double size = 1;
        for (int number = 0; number < count; number++, size *= factor) {
            sizes.add(size);
        }
        double sum = sizes.stream().mapToDouble(Double::doubleValue).sum();
        return new OrganisationMix(sizes.stream().map(each -> each / sum).toList());
    }

    /** Returns the same organisations, of which one sends more or less by a factor. */
    OrganisationMix with(int organisation, double factor) {
        List<Double> changed = new ArrayList<>(sizes);
        changed.set(organisation, sizes.get(organisation) * factor);
        return new OrganisationMix(changed);
    }

    /** Returns the requests of all organisations as a part of the usual ones. */
    double total() {
        return sizes.stream().mapToDouble(Double::doubleValue).sum();
    }

    int draw(Random random) {
        if (sizes.size() == 1) {
            return 0;
        }
        double remaining = random.nextDouble() * total();
        int organisation = 0;
        while (organisation < sizes.size() - 1 && remaining >= sizes.get(organisation)) {
            remaining -= sizes.get(organisation++);
        }
        return organisation;
    }

    /** Returns the same organisations, of which all but one send more or less by a factor. */
    OrganisationMix withOthers(int organisation, double factor) {
        List<Double> changed =
                new ArrayList<>(sizes.stream().map(size -> size * factor).toList());
        changed.set(organisation, sizes.get(organisation));
        return new OrganisationMix(changed);
    }

    static String name(int organisation) {
        return "organisation-" + organisation;
    }

    /** Returns rules with quotas in proportion to the sizes, except for the organisations that have none. */
    Collection<OrganisationRule> rules(Set<Integer> without) {
        List<OrganisationRule> rules = new ArrayList<>();
        for (int number = 0; number < sizes.size(); number++) {
            if (!without.contains(number)) {
                rules.add(new OrganisationRule(name(number), Set.of(), 0, 1_000 * sizes.get(number), 1_000, false, 1));
            }
        }
        return Collections.unmodifiableList(rules);
    }
}
