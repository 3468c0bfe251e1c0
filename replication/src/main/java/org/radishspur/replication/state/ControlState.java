package org.radishspur.replication.state;

import java.util.Optional;

import org.radishspur.model.table.EditAnswer;
import org.radishspur.model.table.Tables;
import org.radishspur.replication.codec.MessagePack;

/**
 * Implements the state machine that the control replicas replicate. It is deterministic: the same commands in the same
 * order result in the same state.
 */
public final class ControlState {
    private final StateOptions options;
    private TablesState tables;
    private ClaimTable claims;
    private SuspectTable suspects;
    private MoveTable moves;
    private CatalogueState catalogue;
    private long nonClaimChangeCount;

    /**
     * Creates the state before the first command.
     *
     * @param options the retention times.
     */
    public ControlState(StateOptions options) {
        this.options = options;
        this.tables = new TablesState();
        this.claims = new ClaimTable(options.claimKeepMillis());
        this.suspects = new SuspectTable(options.suspectKeepMillis());
        this.moves = new MoveTable();
        this.catalogue = new CatalogueState();
    }

    /**
     * Applies a committed command.
     *
     * @param command the command.
     * @return the answer for the proposer.
     */
    public ControlAnswer apply(ControlCommand command) {
        if (command instanceof ControlCommand.ApplyEdit edit) {
            return new ControlAnswer.EditResult(applyEdit(edit));
        } else if (command instanceof ControlCommand.Claim claim) {
            return new ControlAnswer.ClaimResult(claims.claim(claim));
        } else if (command instanceof ControlCommand.FinishClaim finish) {
            claims.finish(finish);
        } else if (command instanceof ControlCommand.ReleaseClaim release) {
            claims.release(release);
        } else if (command instanceof ControlCommand.ReportCrash crash) {
            suspects.report(crash);
            nonClaimChangeCount++;
        } else if (command instanceof ControlCommand.ClearSuspect clear) {
            suspects.clear(clear);
            nonClaimChangeCount++;
        } else if (command instanceof ControlCommand.CatalogueCommand change) {
            change.applyTo(catalogue);
            nonClaimChangeCount++;
        }
        if (command instanceof ControlCommand.ChangeMove change) {
            moves.change(change.proposal(), change.atMillis());
            nonClaimChangeCount++;
        }
        return new ControlAnswer.Done();
    }

    private EditAnswer applyEdit(ControlCommand.ApplyEdit edit) {
        Tables before = tables.tables();
        EditAnswer answer = tables.apply(edit.edit(), edit.atMillis());
        if (tables.tables().revision() > before.revision()) {
            moves.onEdit(before, tables.tables(), edit.atMillis());
            nonClaimChangeCount++;
        }
        return answer;
    }

    /**
     * Returns how many commands may have changed crash suspects, moves, the catalogue or evacuations. A listener
     * compares these only when the number has changed, instead of after each of the far more frequent claims.
     *
     * @return the number of such commands and of restored snapshots since this object was created.
     */
    public long nonClaimChangeCount() {
        return nonClaimChangeCount;
    }

    /**
     * Returns the moves of routes between versions.
     *
     * @return the table of moves.
     */
    public MoveTable moves() {
        return moves;
    }

    /**
     * Returns the catalogue document and the rollouts.
     *
     * @return the state of the catalogue.
     */
    public CatalogueState catalogue() {
        return catalogue;
    }

    /**
     * Replaces the complete state with that of a snapshot.
     *
     * @param bytes the encoded state, or an empty array for the state before the first command.
     */
    public void restore(byte[] bytes) {
        nonClaimChangeCount++;
        if (bytes.length == 0) {
            tables = new TablesState();
            claims = new ClaimTable(options.claimKeepMillis());
            suspects = new SuspectTable(options.suspectKeepMillis());
            moves = new MoveTable();
            catalogue = new CatalogueState();
            return;
        }
        EncodedImage encoded = MessagePack.INSTANCE.decode(bytes, EncodedImage.class);
        tables = decodeUnlessEmpty(encoded.tables(), TablesState.Image.class)
                .map(TablesState::new)
                .orElseGet(TablesState::new);
        claims = decodeUnlessEmpty(encoded.claims(), ClaimTable.Image.class)
                .map(image -> new ClaimTable(options.claimKeepMillis(), image))
                .orElseGet(() -> new ClaimTable(options.claimKeepMillis()));
        suspects = decodeUnlessEmpty(encoded.suspects(), SuspectTable.Image.class)
                .map(image -> new SuspectTable(options.suspectKeepMillis(), image))
                .orElseGet(() -> new SuspectTable(options.suspectKeepMillis()));
        moves = decodeUnlessEmpty(encoded.moves(), MoveTable.Image.class)
                .map(MoveTable::new)
                .orElseGet(MoveTable::new);
        catalogue = decodeUnlessEmpty(encoded.catalogue(), CatalogueState.Image.class)
                .map(CatalogueState::new)
                .orElseGet(CatalogueState::new);
    }

    private static <T> Optional<T> decodeUnlessEmpty(byte[] section, Class<T> type) {
        return section.length == 0 ? Optional.empty() : Optional.of(MessagePack.INSTANCE.decode(section, type));
    }

    /**
     * Returns a copy of the complete state. This takes little time, because the copy shares its immutable records with
     * the state.
     *
     * @return the copy, which any thread may encode.
     */
    public Image image() {
        return new Image(tables.image(), claims.image(), suspects.image(), moves.image(), catalogue.image());
    }

    /**
     * Returns the tables and the stored answers to edits.
     *
     * @return the state of the tables.
     */
    public TablesState tables() {
        return tables;
    }

    /**
     * Returns the claims on requests.
     *
     * @return the table of claims.
     */
    public ClaimTable claims() {
        return claims;
    }

    /**
     * Returns the crash suspects.
     *
     * @return the table of crash suspects.
     */
    public SuspectTable suspects() {
        return suspects;
    }

    /**
     * Holds a copy of the complete state for a snapshot.
     *
     * @param tables the tables and answers.
     * @param claims the claims.
     * @param suspects the crash suspects.
     * @param moves the moves of routes.
     * @param catalogue the catalogue and rollouts.
     */
    public record Image(
            TablesState.Image tables,
            ClaimTable.Image claims,
            SuspectTable.Image suspects,
            MoveTable.Image moves,
            CatalogueState.Image catalogue) {

        /**
         * Encodes the copy as MessagePack.
         *
         * @return the encoded state of a snapshot.
         */
        public byte[] encode() {
            return MessagePack.INSTANCE.encode(new EncodedImage(
                    encodeUnlessUnused(
                            tables,
                            tables.tables().revision() == 0 && tables.answers().isEmpty()),
                    encodeUnlessUnused(
                            claims,
                            claims.latestMillis() == 0 && claims.claims().isEmpty()),
                    encodeUnlessUnused(
                            suspects,
                            suspects.latestMillis() == 0 && suspects.suspects().isEmpty()),
                    encodeUnlessUnused(
                            moves, moves.latest().isEmpty() && moves.ended().isEmpty()),
                    encodeUnlessUnused(catalogue, false)));
        }

        private static byte[] encodeUnlessUnused(Object section, boolean unused) {
            return unused ? new byte[0] : MessagePack.INSTANCE.encode(section);
        }
    }

    /**
     * Holds the encoded sections of the state. A section that was never used is an empty array, so that a process that
     * starts doesn't load the classes to decode it, which shortens the start of a control host with few cores by a
     * third.
     *
     * @param tables the tables and answers.
     * @param claims the claims.
     * @param suspects the crash suspects.
     * @param moves the moves of routes.
     * @param catalogue the catalogue and rollouts.
     */
    private record EncodedImage(byte[] tables, byte[] claims, byte[] suspects, byte[] moves, byte[] catalogue) {}
}
